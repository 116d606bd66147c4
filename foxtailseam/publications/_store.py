"""Store of the highest valid revision of a published value."""

from collections.abc import Callable
from typing import Generic, TypeVar

from result import Ok, Result

from foxtailseam.configuration import Revision, digest_lines
from foxtailseam.publications._client import Publication

Value = TypeVar("Value")


class PublicationStore(Generic[Value]):
    """Holds the highest valid revision of a value; it never decreases.

    Parameters
    ----------
    initial : Value
        Value to use until one is published.
    parse : callable
        Converts the published text to a value, or returns an error message.
    """

    def __init__(self, initial: Value, parse: Callable[[str], Result[Value, str]]):
        self.initial = initial
        self.parse = parse
        self._value = initial
        self._revision = Revision()
        self._publication: Publication | None = None

    @property
    def value(self) -> Value:
        """Return the value in force."""
        return self._value

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self._revision

    @property
    def publication(self) -> Publication | None:
        """Return the value as published, to send to peers; None before the first."""
        return self._publication

    def offer(self, publication: Publication) -> Result[bool, str]:
        """Adopt a published value if it is newer and valid.

        Parameters
        ----------
        publication : Publication
            The published value.

        Returns
        -------
        Result[bool, str]
            Whether the value was adopted, or the error message of `parse`.
        """
        if publication.number < self._revision.number:
            return Ok(False)
        revision = Revision(publication.number, digest_lines([publication.text]))
        if revision <= self._revision:
            return Ok(False)
        parsed = self.parse(publication.text)
        if parsed.is_err():
            return parsed
        self._value = parsed.unwrap()
        self._publication = publication
        self._revision = revision
        return Ok(True)
