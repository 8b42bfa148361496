"""`radishmount-check`."""

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    raise SystemExit("radishmount-check is not built yet")
