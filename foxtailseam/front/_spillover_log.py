"""Log events of spillover shares."""

from foxtailseam.locality import LocalityDecision
from foxtailseam.logs import EventCode, LogWriter


class SpilloverLog:
    """Writes an event as a share begins to be kept, and as it ends.

    Parameters
    ----------
    locality : LocalityDecision
        Spillover shares of this host.
    log : LogWriter
        Log that receives the events.
    """

    def __init__(self, locality: LocalityDecision, log: LogWriter):
        self.locality = locality
        self.log = log
        locality.on_change = self.record_change

    def record_change(self, service: str, share: float | None) -> None:
        """Record a change.

        Parameters
        ----------
        service : str
            Service of the share.
        share : float or None
            Share that begins to be kept; None if none is kept any longer.
        """
        if share is None:
            self.log.write(EventCode.SPILLOVER_ENDED, service=service)
        else:
            self.log.write(
                EventCode.SPILLOVER_STARTED, service=service, share=round(share, 3)
            )
