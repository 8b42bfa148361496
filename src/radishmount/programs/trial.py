"""`radishmount-trial`."""

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    raise SystemExit("radishmount-trial is not built yet")
