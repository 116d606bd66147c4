"""Interfaces to the wire format of requests to searchers and of their answers."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from foxtailseam.http import Headers

# Values of `AnswerMetadata.malformed`.
MALFORMED_LIMIT = "limit"
MALFORMED_PAUSE = "pause"


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Metadata from the status and headers of a searcher's answer.

    Parameters
    ----------
    stamp : bytes
        Digest of the answer computed by the searcher; empty if absent.
    not_run : bool
        Whether the searcher states that it did not run the request.
    is_misdirected : bool
        Whether the request reached another searcher than the intended one.
    rate_limit : float or None
        Requests per second that the searcher accepts from all hosts together; None if
        it names no limit.
    is_leaving : bool
        Whether the searcher says that it is about to stop.
    pause : timedelta or None
        How long the searcher wants no requests from this host; None if it does not say.
    malformed : str
        Name of a header of these that cannot be read; empty if there is none.
    """

    stamp: bytes
    not_run: bool
    is_misdirected: bool
    rate_limit: float | None = None
    is_leaving: bool = False
    pause: timedelta | None = None
    malformed: str = ""

    @property
    def has_conditions(self) -> bool:
        """Return whether the answer says anything of the searcher's conditions."""
        return (
            self.rate_limit is not None
            or self.is_leaving
            or self.pause is not None
            or bool(self.malformed)
        )

    @property
    def is_limit_malformed(self) -> bool:
        """Return whether the searcher names a limit that cannot be read."""
        return self.malformed == MALFORMED_LIMIT


class RequestTemplate(Protocol):
    """Template from which a caller's request is rendered for each searcher."""

    def render(self, remaining_seconds: float, searcher: str) -> bytes:
        """Return the request as bytes for one searcher.

        Parameters
        ----------
        remaining_seconds : float
            Time until the deadline, in seconds.
        searcher : str
            Identifier of the searcher.
        """


AnswerReader = Callable[[int, Headers], AnswerMetadata]
