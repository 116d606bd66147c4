"""A query tier over many shards: complete or honestly partial answers."""

from foxtailseam._version import __version__

__all__ = ["__version__"]
