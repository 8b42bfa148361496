"""The console scripts."""

__all__: list[str] = []
