"""Chain of filters; each passes a request on or returns its outcome."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from foxtailseam.filters._requests import RequestContext
from foxtailseam.outcomes import Outcome

Handler = Callable[[RequestContext], Awaitable[Outcome]]


class Filter(Protocol):
    """One filter of a `FilterChain`."""

    async def filter(self, context: RequestContext, call_next: Handler) -> Outcome:
        """Return the outcome of a request.

        Parameters
        ----------
        context : RequestContext
            Request with its policy and snapshot.
        call_next : callable
            Runs the rest of the chain; not called if the request is refused.
        """


class FilterChain:
    """Runs requests through filters and then a handler.

    Parameters
    ----------
    filters : sequence of Filter
        Filters in the order in which they run.
    handler : callable
        Coroutine function that runs requests which pass every filter.
    """

    def __init__(self, filters: Sequence[Filter], handler: Handler):
        self.filters = filters
        self.handler = handler
        self._run = handler
        for item in reversed(filters):
            self._run = _bind(item, self._run)

    async def run(self, context: RequestContext) -> Outcome:
        """Run a request through the chain and return its outcome.

        Parameters
        ----------
        context : RequestContext
            Request with its policy and snapshot.
        """
        return await self._run(context)


def _bind(item: Filter, call_next: Handler) -> Handler:
    async def run(context: RequestContext) -> Outcome:
        return await item.filter(context, call_next)

    return run
