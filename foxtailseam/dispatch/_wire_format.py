"""Interfaces to the wire format of requests to searchers and of their answers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailseam.http import Headers


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
    is_limit_malformed : bool
        Whether the searcher names a limit that cannot be read.
    """

    stamp: bytes
    not_run: bool
    is_misdirected: bool
    rate_limit: float | None = None
    is_limit_malformed: bool = False


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
