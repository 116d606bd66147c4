"""The chain: each filter passes a request on, or gives its outcome."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from foxtailseam.filters._requests import RequestContext
from foxtailseam.outcomes import Outcome

Handler = Callable[[RequestContext], Awaitable[Outcome]]


class Filter(Protocol):
    """One step of the chain."""

    async def filter(self, context: RequestContext, proceed: Handler) -> Outcome:
        """Return an outcome, by `proceed` if the request is to go on."""


class FilterChain:
    """Runs a request through filters and then the handler.

    Parameters
    ----------
    filters : sequence of Filter
        In the order of running.
    handler : callable
        Runs requests that pass every filter.
    """

    def __init__(self, filters: Sequence[Filter], handler: Handler):
        self.filters = filters
        self.handler = handler
        self._run = handler
        for item in reversed(filters):
            self._run = _bind(item, self._run)

    async def run(self, context: RequestContext) -> Outcome:
        """Return the outcome of a request."""
        return await self._run(context)


def _bind(item: Filter, proceed: Handler) -> Handler:
    async def run(context: RequestContext) -> Outcome:
        return await item.filter(context, proceed)

    return run
