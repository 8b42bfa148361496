"""A query tier over many shards: one snapshot, true coverage, on time."""

__all__ = ["__version__"]

__version__ = "0.1.0"
