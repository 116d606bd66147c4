"""Log events and gauges on the admitted shares that all hosts agree on."""

from foxtailseam.admission import FleetAdmission
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics


class AdmissionLog:
    """Writes an event when the joint share of a group begins or ceases to apply.

    Parameters
    ----------
    fleet_admission : FleetAdmission
        The joint shares.
    log : LogWriter
        Log that receives the events.
    metrics : Metrics
        Registry of the gauges.
    """

    def __init__(
        self, fleet_admission: FleetAdmission, log: LogWriter, metrics: Metrics
    ):
        self.fleet_admission = fleet_admission
        self.log = log
        self.metrics = metrics
        self._groups: frozenset[str] = frozenset()

    def update(self) -> None:
        """Write the events of what has changed and set the gauges."""
        shares = self.fleet_admission.joint_shares()
        groups = frozenset(shares)
        for group in sorted(groups - self._groups):
            self.log.write(
                EventCode.ADMISSION_LIMITED, group=group, share=round(shares[group], 3)
            )
        for group in sorted(self._groups - groups):
            self.log.write(
                EventCode.ADMISSION_RELEASED,
                group=group,
                is_cut_off=self.fleet_admission.is_cut_off(),
            )
        self._groups = groups
        self.metrics.set("admission_groups_limited_now", len(shares))
        self.metrics.set("admission_smallest_share", min(shares.values(), default=1.0))
