"""Shard coverage of an answer: included shards, and missing ones with reasons."""

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
    """A shard that is missing from an answer, and the reason."""

    shard: str
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class Coverage:
    """Partition of the pinned shard map into included and missing shards.

    Parameters
    ----------
    included : tuple of str
        Names of the shards whose sub-answers are in the answer, sorted.
    lacking : tuple of MissingShard
        The other shards of the map with their reasons, sorted by name.
    """

    included: tuple[str, ...]
    lacking: tuple[MissingShard, ...]

    @property
    def fraction(self) -> float:
        """Return the included fraction of the shards; 1 for a map without shards."""
        total = len(self.included) + len(self.lacking)
        return len(self.included) / total if total else 1.0
