"""Decides which searchers this host may call slow, from the parts of one query.

A part is compared with the others of its query and with this host's usual time, so that
a host that is slow itself, or whose links are, calls no searcher slow.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median
from typing import NamedTuple

from foxtailseam.conditions import MAX_SLOW_FACTOR, MIN_SLOW_FACTOR

# Parts that a comparison needs.
MIN_PARTS = 4
# A slow part also takes this much longer than the parts that it is compared with, in
# seconds: the answers of one query are handled one after the other.
MIN_EXCESS = 0.02
# Up to this factor, a part is as fast as the others.
MAX_NORMAL_FACTOR = 1.5
# If more of a failure domain's parts are slow, their median says little.
MAX_SLOW_SHARE = 0.4
# Weight of a query in the usual time of a failure domain, and the most by which one may
# exceed it.
USUAL_WEIGHT = 0.1
MAX_USUAL_STEP = 2.0


class PartTiming(NamedTuple):
    """Time of one sub-request of a query.

    A named tuple, since there is one for each shard of each query.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    failure_domain : str
        Failure domain of the searcher.
    seconds : float
        Time to the answer, or to now.
    is_answered : bool
        Whether the answer has arrived; if not, it takes even longer.
    """

    searcher: str
    failure_domain: str
    seconds: float
    is_answered: bool


@dataclass(frozen=True, slots=True)
class SlownessMeasurement:
    """What one query says of a searcher.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    factor : float
        Response time as a multiple of that of comparable parts; 1 if it is normal.
    """

    searcher: str
    factor: float

    @property
    def is_slow(self) -> bool:
        """Return whether the searcher is reported."""
        return self.factor >= MIN_SLOW_FACTOR


class SlownessDetector:
    """Compares the parts of queries; keeps the usual time to each failure domain."""

    def __init__(self):
        self._usual: dict[str, float] = {}

    def measure(
        self, parts: Sequence[PartTiming], watched: Iterable[str] = ()
    ) -> tuple[SlownessMeasurement, ...]:
        """Return the searchers that are slow, and those of `watched` that are not.

        Parameters
        ----------
        parts : sequence of PartTiming
            Parts of one query.
        watched : iterable of str
            Identifiers of the searchers that are estimated to be slow.
        """
        if len(parts) < MIN_PARTS:
            return ()
        overall = median([part.seconds for part in parts])
        measurements: list[SlownessMeasurement] = []
        for domain in dict.fromkeys([part.failure_domain for part in parts]):
            group = [part for part in parts if part.failure_domain == domain]
            is_alone = len(group) < MIN_PARTS
            common = overall if is_alone else median([part.seconds for part in group])
            measurements += self._compare_group(group, common, frozenset(watched))
            if not is_alone:
                self._record_usual(domain, common)
        return tuple(measurements)

    def _compare_group(
        self, group: Sequence[PartTiming], common: float, watched: frozenset[str]
    ) -> list[SlownessMeasurement]:
        """Return the measurements on the parts from one failure domain."""
        expected = max(common, self._usual.get(group[0].failure_domain, 0.0), 1e-4)
        threshold = max(MIN_SLOW_FACTOR * expected, expected + MIN_EXCESS)
        slow = [
            SlownessMeasurement(
                part.searcher, min(MAX_SLOW_FACTOR, part.seconds / expected)
            )
            for part in group
            if part.seconds >= threshold
        ]
        # A single part is compared with those from other failure domains.
        if len(slow) > max(1, MAX_SLOW_SHARE * len(group)):
            slow = []
        if not watched:
            return slow
        normal = [
            SlownessMeasurement(part.searcher, 1.0)
            for part in group
            if part.is_answered
            and part.searcher in watched
            and part.seconds <= MAX_NORMAL_FACTOR * expected
        ]
        return slow + normal

    def _record_usual(self, domain: str, seconds: float) -> None:
        usual = self._usual.get(domain, seconds)
        seconds = min(seconds, MAX_USUAL_STEP * usual)
        self._usual[domain] = usual + USUAL_WEIGHT * (seconds - usual)
