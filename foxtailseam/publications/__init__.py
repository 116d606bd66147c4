"""Values published by the platform: a client to read them, a store for each."""

from foxtailseam.publications._client import (
    PlatformClient,
    PlatformError,
    Publication,
    PublicationName,
)
from foxtailseam.publications._store import PublicationStore

__all__ = [
    "PlatformClient",
    "PlatformError",
    "Publication",
    "PublicationName",
    "PublicationStore",
]
