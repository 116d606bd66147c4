"""Refuses requests that the rules or the snapshots do not allow."""

from foxtailseam.filters._chain import Handler
from foxtailseam.filters._requests import RequestContext, Search, Submit
from foxtailseam.outcomes import Outcome, RefusalReason, Refused


class PolicyFilter:
    """Checks that the family exists and takes this kind of request."""

    async def filter(self, context: RequestContext, proceed: Handler) -> Outcome:
        """Return a refusal, or proceed."""
        request_id = context.request.request_id
        if context.snapshot is None:
            return Refused(request_id, RefusalReason.UNKNOWN_FAMILY, None)
        match context.request:
            case Search() if not context.policy.repeatable:
                return Refused(request_id, RefusalReason.NOT_REPEATABLE, None)
            case Submit() if context.policy.repeatable:
                return Refused(request_id, RefusalReason.REPEATABLE, None)
        return await proceed(context)
