"""Filter that refuses requests while the published state is missing or stale."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.filters._chain import Handler
from foxtailseam.filters._requests import RequestContext
from foxtailseam.outcomes import Outcome, RefusalReason, Refused


class ReadinessFilter:
    """Refuses requests until the published state is complete and fresh.

    The published state consists of rules, snapshots and hosts. Requests wait while
    this state is refreshed after a pause of the process.

    Parameters
    ----------
    is_complete : callable
        Returns whether rules, snapshots and hosts are known.
    wait_until_fresh : callable
        Coroutine function that waits for the refresh, up to a given time, and
        returns whether the state is fresh.
    refresh_context : callable
        Returns the context with the policy and snapshot now in force.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        is_complete: Callable[[], bool],
        wait_until_fresh: Callable[[timedelta], Awaitable[bool]],
        refresh_context: Callable[[RequestContext], RequestContext],
        clock: Clock,
    ):
        self.is_complete = is_complete
        self.wait_until_fresh = wait_until_fresh
        self.refresh_context = refresh_context
        self.clock = clock

    async def filter(self, context: RequestContext, call_next: Handler) -> Outcome:
        """Refuse the request, or pass it on with a refreshed context.

        Parameters
        ----------
        context : RequestContext
            Request with the policy and snapshot in force on arrival.
        call_next : callable
            Runs the rest of the chain.
        """
        request_id = context.request.request_id
        retry_after = context.policy.retry_after
        if not self.is_complete():
            return Refused(request_id, RefusalReason.NOT_READY, retry_after)
        if not await self.wait_until_fresh(context.remaining(self.clock)):
            return Refused(request_id, RefusalReason.NOT_READY, retry_after)
        if context.remaining(self.clock) <= timedelta():
            return Refused(request_id, RefusalReason.DEADLINE, retry_after)
        return await call_next(self.refresh_context(context))
