"""Refuses requests that crash searchers, and learns which ones do."""

from collections.abc import Callable
from dataclasses import replace

from foxtailseam.filters._chain import Handler
from foxtailseam.filters._requests import RequestContext, Search
from foxtailseam.logs import EventCode
from foxtailseam.outcomes import Outcome, RefusalReason, Refused
from foxtailseam.quarantine import QuarantineController, SuspicionState
from foxtailseam.timeline import Recorder


class QuarantineFilter:
    """Applies the quarantine to searches.

    Parameters
    ----------
    quarantine : QuarantineController
        The suspicions.
    recorder : Recorder
        Where a new quarantine is reported.
    spread : callable
        Tells the peers at once.
    """

    def __init__(
        self,
        quarantine: QuarantineController,
        recorder: Recorder,
        spread: Callable[[], None],
    ):
        self.quarantine = quarantine
        self.recorder = recorder
        self.spread = spread

    async def filter(self, context: RequestContext, proceed: Handler) -> Outcome:
        """Return a refusal, or proceed and learn from the sub-answers."""
        if not isinstance(context.request, Search):
            return await proceed(context)
        state = self.quarantine.state(context.fingerprint)
        if state is SuspicionState.QUARANTINED:
            return Refused(
                context.request.request_id,
                RefusalReason.QUARANTINED,
                self.quarantine.remaining(context.fingerprint),
            )
        suspect = state is SuspicionState.SUSPECT
        context = replace(context, suspect=suspect)
        outcome = await proceed(context)
        self._learn(context)
        return outcome

    def _learn(self, context: RequestContext) -> None:
        answers = context.result.answers
        answered = any(answer.lack is None for answer in answers)
        if any(answer.lost_searchers for answer in answers):
            self._lost(context)
        elif not (context.suspect and answered):
            return
        elif self.quarantine.record_survival(context.fingerprint):
            self.spread()

    def _lost(self, context: RequestContext) -> None:
        duration = context.policy.quarantine
        alone = context.suspect
        if not self.quarantine.record_loss(context.fingerprint, duration, alone):
            return
        state = self.quarantine.state(context.fingerprint)
        if state is SuspicionState.QUARANTINED:
            self.recorder.record(
                EventCode.QUARANTINED,
                context.request.request_id,
                fingerprint=context.fingerprint,
            )
        self.spread()
