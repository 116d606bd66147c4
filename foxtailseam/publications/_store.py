"""Holds the newest published value of one name."""

from collections.abc import Callable
from typing import Generic, TypeVar

from result import Ok, Result

from foxtailseam.configuration import Revision, rules_digest
from foxtailseam.publications._client import Publication

Value = TypeVar("Value")


class PublicationStore(Generic[Value]):
    """Adopts published values by rising revision; an invalid one is refused.

    Parameters
    ----------
    initial : Value
        The value before anything was published.
    parse : callable
        Turns the published text into a value, or an error message.
    """

    def __init__(self, initial: Value, parse: Callable[[str], Result[Value, str]]):
        self.initial = initial
        self.parse = parse
        self._value = initial
        self._revision = Revision()
        self._publication: Publication | None = None

    @property
    def value(self) -> Value:
        """Return the value in use."""
        return self._value

    @property
    def revision(self) -> Revision:
        """Return the revision in use."""
        return self._revision

    @property
    def publication(self) -> Publication | None:
        """Return the value as published, for peers that are behind."""
        return self._publication

    def offer(self, publication: Publication) -> Result[bool, str]:
        """Adopt a value if it is newer; tell whether it was."""
        if publication.number < self._revision.number:
            return Ok(False)
        revision = Revision(publication.number, rules_digest([publication.text]))
        if revision <= self._revision:
            return Ok(False)
        parsed = self.parse(publication.text)
        if parsed.is_err():
            return parsed
        self._value = parsed.unwrap()
        self._publication = publication
        self._revision = revision
        return Ok(True)
