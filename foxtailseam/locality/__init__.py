"""When a request leaves the failure domain of its host, and how many do.

Nothing here performs I/O; the clock and the random generator are passed in.
"""

from foxtailseam.locality._control import SpilloverControl
from foxtailseam.locality._crossing import EXCLUSION_COST_SECONDS, DistanceCosts
from foxtailseam.locality._decision import LocalityDecision
from foxtailseam.locality._notices import SpilloverNotice
from foxtailseam.locality._share import (
    CROSS_DOMAIN_COST_SECONDS,
    MIN_SHARE,
    Observation,
    may_end,
    next_share,
)

__all__ = [
    "CROSS_DOMAIN_COST_SECONDS",
    "EXCLUSION_COST_SECONDS",
    "MIN_SHARE",
    "DistanceCosts",
    "LocalityDecision",
    "Observation",
    "SpilloverControl",
    "SpilloverNotice",
    "may_end",
    "next_share",
]
