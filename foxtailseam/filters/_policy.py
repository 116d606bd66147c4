"""Filter that refuses requests which the policy does not allow."""

from foxtailseam.filters._chain import Handler
from foxtailseam.filters._requests import RequestContext, Search, Submit
from foxtailseam.outcomes import Outcome, RefusalReason, Refused


class PolicyFilter:
    """Checks that the service family exists and accepts this kind of request.

    A search needs a repeatable family, a submit a non-repeatable one.
    """

    async def filter(self, context: RequestContext, call_next: Handler) -> Outcome:
        """Refuse the request or pass it on.

        Parameters
        ----------
        context : RequestContext
            Request with its policy and snapshot.
        call_next : callable
            Runs the rest of the chain.
        """
        request_id = context.request.request_id
        if context.snapshot is None:
            return Refused(request_id, RefusalReason.UNKNOWN_FAMILY, None)
        match context.request:
            case Search() if not context.policy.repeatable:
                return Refused(request_id, RefusalReason.NOT_REPEATABLE, None)
            case Submit() if context.policy.repeatable:
                return Refused(request_id, RefusalReason.REPEATABLE, None)
        return await call_next(context)
