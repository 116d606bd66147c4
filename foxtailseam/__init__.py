"""A query tier over many shards; answers are complete or list what is missing."""

from foxtailseam._version import __version__

__all__ = ["__version__"]
