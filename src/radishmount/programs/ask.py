"""`radishmount-ask`."""

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    raise SystemExit("radishmount-ask is not built yet")
