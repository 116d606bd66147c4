"""Filter that refuses requests early when the searchers are overloaded."""

from foxtailseam.admission import AdmissionController
from foxtailseam.filters._chain import Handler
from foxtailseam.filters._requests import RequestContext
from foxtailseam.outcomes import Outcome, RefusalReason, Refused


class AdmissionFilter:
    """Limits the number of requests in flight per service family.

    Parameters
    ----------
    admission : AdmissionController
        Adaptive limit of each family.
    """

    def __init__(self, admission: AdmissionController):
        self.admission = admission

    async def filter(self, context: RequestContext, call_next: Handler) -> Outcome:
        """Refuse the request, or pass it on and adapt the limit afterwards.

        Parameters
        ----------
        context : RequestContext
            Request with its policy.
        call_next : callable
            Runs the rest of the chain.
        """
        request, policy = context.request, context.policy
        if not self.admission.admit(request.family, policy.limit):
            reason = RefusalReason.OVERLOADED
            return Refused(request.request_id, reason, policy.retry_after)
        try:
            return await call_next(context)
        finally:
            self.admission.release(
                request.family,
                policy.limit,
                context.result.queue_delay,
                policy.deadline,
                context.result.shed,
            )
