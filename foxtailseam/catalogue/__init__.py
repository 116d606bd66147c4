"""Service discovery: the known searchers of each service, and which may be used."""

from foxtailseam.catalogue._catalogue import (
    OUTAGE_GRACE_PERIOD,
    Catalogue,
    CatalogueListener,
)
from foxtailseam.catalogue._entries import SearcherEntry

__all__ = ["OUTAGE_GRACE_PERIOD", "Catalogue", "CatalogueListener", "SearcherEntry"]
