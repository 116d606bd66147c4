"""What a request to searchers and their answers look like, as the core sees it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailseam.http import Headers


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What a searcher says of its answer.

    Parameters
    ----------
    stamp : bytes
        The searcher's digest of its answer; empty if there is none.
    not_run : bool
        Whether it states that it didn't run the request.
    is_other_searcher : bool
        Whether another searcher has the address now.
    """

    stamp: bytes
    not_run: bool
    is_other_searcher: bool


class RequestTemplate(Protocol):
    """A caller's request, to be sent to one or more searchers."""

    def render(self, remaining_seconds: float, searcher: str) -> bytes:
        """Return the bytes for one searcher."""


AnswerReader = Callable[[int, Headers], AnswerMetadata]
