"""What a host knows of another one."""

from dataclasses import dataclass

from foxtailseam.fleet._host_record import HostRecord

# Time in which a suspected host can refute the suspicion before it counts as failed.
SUSPICION_SECONDS = 4.0


@dataclass(slots=True)
class Member:
    """What is known of another host.

    Parameters
    ----------
    record : HostRecord
        Newest record of the host.
    digest : int
        Digest of the record, kept because it is summed up for each message.
    changed_at : float
        Monotonic time at which this run of the host became known, or that it leaves.
    suspected_at : float or None
        Monotonic time of the suspicion that has not been refuted; None without one.
    is_unreachable : bool
        Whether this host itself could not reach it.
    """

    record: HostRecord
    digest: int
    changed_at: float
    suspected_at: float | None = None
    is_unreachable: bool = False

    def is_failed(self, now: float) -> bool:
        """Return whether it was suspected and did not refute that in time."""
        return (
            self.suspected_at is not None
            and now - self.suspected_at >= SUSPICION_SECONDS
        )

    def is_alive(self, now: float) -> bool:
        """Return whether this host counts it as a member."""
        return not (
            self.record.is_leaving or self.is_unreachable or self.is_failed(now)
        )

    def ended_at(self, now: float) -> float | None:
        """Return when the host left or counted as failed; None if it did neither."""
        if self.record.is_leaving:
            return self.changed_at
        if self.is_failed(now):
            return self.suspected_at + SUSPICION_SECONDS
        return None
