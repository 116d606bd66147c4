"""Refuses requests early when the searchers cannot keep up."""

from foxtailseam.admission import AdmissionController
from foxtailseam.filters._chain import Handler
from foxtailseam.filters._requests import RequestContext
from foxtailseam.outcomes import Outcome, RefusalReason, Refused


class AdmissionFilter:
    """Bounds the requests in flight for each family.

    Parameters
    ----------
    admission : AdmissionController
        The limits.
    """

    def __init__(self, admission: AdmissionController):
        self.admission = admission

    async def filter(self, context: RequestContext, proceed: Handler) -> Outcome:
        """Return a refusal at once, or proceed and adapt the limit."""
        request, policy = context.request, context.policy
        if not self.admission.admit(request.family, policy.limit):
            reason = RefusalReason.OVERLOADED
            return Refused(request.request_id, reason, policy.retry_after)
        try:
            return await proceed(context)
        finally:
            self.admission.release(
                request.family,
                policy.limit,
                context.result.queue_delay,
                policy.deadline,
                context.result.shed,
            )
