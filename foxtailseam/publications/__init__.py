"""What the platform publishes: a client, and values that never go back."""

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
