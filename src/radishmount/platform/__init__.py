"""The adapter to the users' platform: names, formats and calls, and nothing that decides."""

from radishmount.platform._program import main


__all__ = ["main"]
