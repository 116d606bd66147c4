"""Holds the process to what it knows for certain."""

from collections.abc import Awaitable, Callable
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
    wait_until_fresh : callable
        Waits, up to a bound, for the refresh after a pause.
    plan_again : callable
        Gives the context by the state that the refresh brought.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        is_complete: Callable[[], bool],
        wait_until_fresh: Callable[[timedelta], Awaitable[bool]],
        plan_again: Callable[[RequestContext], RequestContext],
        clock: Clock,
    ):
        self.is_complete = is_complete
        self.wait_until_fresh = wait_until_fresh
        self.plan_again = plan_again
        self.clock = clock

    async def filter(self, context: RequestContext, proceed: Handler) -> Outcome:
        """Return a refusal, or proceed."""
        request_id = context.request.request_id
        retry_after = context.policy.retry_after
        if not self.is_complete():
            return Refused(request_id, RefusalReason.NOT_READY, retry_after)
        if not await self.wait_until_fresh(context.remaining(self.clock)):
            return Refused(request_id, RefusalReason.NOT_READY, retry_after)
        if context.remaining(self.clock) <= timedelta():
            return Refused(request_id, RefusalReason.DEADLINE, retry_after)
        return await proceed(self.plan_again(context))
