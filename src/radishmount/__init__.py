"""A query tier over many shards: answers from one snapshot, with true coverage, in time."""

__all__ = ["__version__"]

__version__ = "0.1.0"
