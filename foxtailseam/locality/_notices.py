"""Notices by which the hosts of a failure domain agree on spillover shares."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from foxtailseam.utils import Fraction, Name, SignedWholeMilliseconds

# Number of answers; bounded, so that one host's word cannot outweigh all others.
MAX_WEIGHT = 1_000
Weight = Annotated[float, Meta(ge=0, le=MAX_WEIGHT)]


@dataclass(frozen=True, slots=True)
class SpilloverNotice:
    """Share that a host keeps for a service.

    Parameters
    ----------
    service : str
        Name of the service.
    share : float
        Part of the requests that leave the failure domain of the sender, 0 to 1.
    weight : float
        Number of recent answers on which the share rests.
    age_ms : int
        Milliseconds since the latest of them.
    """

    service: Name
    share: Fraction
    weight: Weight
    age_ms: SignedWholeMilliseconds
