"""A query tier over many shards: one snapshot, true coverage, on time."""

from importlib.metadata import version


__all__ = ["__version__"]

__version__ = version("radishmount")
