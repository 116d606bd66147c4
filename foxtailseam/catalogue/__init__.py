"""Service discovery: the known searchers of each service, and which may be used."""

from foxtailseam.catalogue._catalogue import Catalogue, CatalogueListener
from foxtailseam.catalogue._entries import SearcherEntry

__all__ = ["Catalogue", "CatalogueListener", "SearcherEntry"]
