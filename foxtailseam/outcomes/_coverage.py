"""Which shards an answer includes and which it lacks, each with a reason."""

from dataclasses import dataclass
from enum import StrEnum


class MissingReason(StrEnum):
    """Why a shard is missing from an answer."""

    DEADLINE = "deadline"
    NO_SEARCHER = "no-searcher"
    SHED = "shed"
    UPSTREAM_LOST = "upstream-lost"
    WRONG_VERSION = "wrong-version"
    WRONG_ANSWER = "wrong-answer"
    GATHER_LOST = "gather-lost"
    SUSPECT = "suspect"


@dataclass(frozen=True, slots=True)
class MissingShard:
    """One missing shard and the reason."""

    shard: str
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class Coverage:
    """The shards of the pinned map, split into included and lacking.

    Parameters
    ----------
    included : tuple of str
        Names of the shards whose sub-answer is in the answer, sorted.
    lacking : tuple of MissingShard
        The other shards of the map, sorted by name.
    """

    included: tuple[str, ...]
    lacking: tuple[MissingShard, ...]

    @property
    def fraction(self) -> float:
        """Return the included share, from 0 to 1; 1 for a map without shards."""
        total = len(self.included) + len(self.lacking)
        return len(self.included) / total if total else 1.0
