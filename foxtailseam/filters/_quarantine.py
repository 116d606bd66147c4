"""Filter that detects and refuses requests which crash searchers."""

from collections.abc import Callable
from dataclasses import replace

from foxtailseam.filters._chain import Handler
from foxtailseam.filters._requests import RequestContext, Search
from foxtailseam.logs import EventCode
from foxtailseam.outcomes import Outcome, RefusalReason, Refused
from foxtailseam.quarantine import QuarantineController, SuspicionState
from foxtailseam.timeline import Recorder


class QuarantineFilter:
    """Applies the quarantine to searches; other requests pass unchanged.

    Parameters
    ----------
    quarantine : QuarantineController
        State of each suspected or quarantined request.
    recorder : Recorder
        Receives an event for each new quarantine.
    notify_peers : callable
        Called without arguments to send changes to peers at once.
    """

    def __init__(
        self,
        quarantine: QuarantineController,
        recorder: Recorder,
        notify_peers: Callable[[], None],
    ):
        self.quarantine = quarantine
        self.recorder = recorder
        self.notify_peers = notify_peers

    async def filter(self, context: RequestContext, call_next: Handler) -> Outcome:
        """Refuse a quarantined request, or pass it on and evaluate the answers.

        Parameters
        ----------
        context : RequestContext
            Request with its policy and fingerprint.
        call_next : callable
            Runs the rest of the chain, with a context that marks a suspect request.
        """
        if not isinstance(context.request, Search):
            return await call_next(context)
        state = self.quarantine.state(context.fingerprint)
        if state is SuspicionState.QUARANTINED:
            return Refused(
                context.request.request_id,
                RefusalReason.QUARANTINED,
                self.quarantine.remaining(context.fingerprint),
            )
        suspect = state is SuspicionState.SUSPECT
        context = replace(context, suspect=suspect)
        outcome = await call_next(context)
        self._update_quarantine(context)
        return outcome

    def _update_quarantine(self, context: RequestContext) -> None:
        answers = context.result.answers
        answered = any(answer.lack is None for answer in answers)
        if any(answer.lost_searchers for answer in answers):
            self._record_loss(context)
        elif not (context.suspect and answered):
            return
        elif self.quarantine.record_survival(context.fingerprint):
            self.notify_peers()

    def _record_loss(self, context: RequestContext) -> None:
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
        self.notify_peers()
