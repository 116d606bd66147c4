"""Holds the process to what it knows for certain."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.filters._chain import Handler
from foxtailseam.filters._requests import RequestContext
from foxtailseam.outcomes import Outcome, RefusalReason, Refused


class ReadinessFilter:
    """Refuses until the state is complete; waits while it is being refreshed.

    Parameters
    ----------
    is_complete : callable
        Whether rules, snapshots and hosts are known.
    fresh : asyncio.Event
        Cleared after a pause, set once the state was refreshed.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self, is_complete: Callable[[], bool], fresh: asyncio.Event, clock: Clock
    ):
        self.is_complete = is_complete
        self.fresh = fresh
        self.clock = clock

    async def filter(self, context: RequestContext, proceed: Handler) -> Outcome:
        """Return a refusal, or proceed."""
        request_id = context.request.request_id
        retry_after = context.policy.retry_after
        if not self.is_complete():
            return Refused(request_id, RefusalReason.NOT_READY, retry_after)
        if not self.fresh.is_set():
            remaining = context.deadline - self.clock.monotonic()
            await self._wait(timedelta(seconds=max(0.0, remaining)))
        if not self.fresh.is_set():
            return Refused(request_id, RefusalReason.NOT_READY, retry_after)
        if self.clock.monotonic() >= context.deadline:
            return Refused(request_id, RefusalReason.DEADLINE, retry_after)
        return await proceed(context)

    async def _wait(self, bound: timedelta) -> None:
        waiter = asyncio.ensure_future(self.fresh.wait())
        await asyncio.wait({waiter}, timeout=bound.total_seconds())
        waiter.cancel()
