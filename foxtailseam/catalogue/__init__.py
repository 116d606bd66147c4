"""Which searchers there are, of which service, and which of them may be used."""

from foxtailseam.catalogue._catalogue import Catalogue, CatalogueListener
from foxtailseam.catalogue._entries import SearcherEntry

__all__ = ["Catalogue", "CatalogueListener", "SearcherEntry"]
