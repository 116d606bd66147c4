"""Verdict on the links of this host to the searchers."""

from dataclasses import dataclass
from enum import StrEnum

# Number of probed searchers that must accept a connection before a host that had lost
# its links uses them again. One is enough to keep using them.
MIN_ACCEPTS_TO_RETURN = 2


class LinkState(StrEnum):
    """What this host can reach of the searchers."""

    CONNECTED = "connected"
    # Open connections live on, new ones fail.
    NO_NEW_CONNECTIONS = "no-new-connections"
    ISOLATED = "isolated"


@dataclass(frozen=True, slots=True)
class LinkEvidence:
    """Result of a round of connection attempts, with what came before it.

    Parameters
    ----------
    accepted : int
        Number of probed searchers that accepted a connection.
    probed : int
        Number of probed searchers, at least 1.
    is_silent : bool
        Whether several searchers have not answered since the last contact.
    responds : bool
        Whether responses still came on open connections after the first failed
        connection attempt.
    """

    accepted: int
    probed: int
    is_silent: bool
    responds: bool


def judge_links(state: LinkState, evidence: LinkEvidence) -> LinkState:
    """Return the state of the links that the evidence shows.

    A searcher that has crashed accepts no connections either, so several are probed,
    and a single one that accepts proves that the links work.

    Parameters
    ----------
    state : LinkState
        State before the round.
    evidence : LinkEvidence
        Result of the round.
    """
    is_connected = state is LinkState.CONNECTED
    required = 1 if is_connected else min(MIN_ACCEPTS_TO_RETURN, evidence.probed)
    if evidence.accepted >= required:
        return LinkState.CONNECTED
    if evidence.responds and not evidence.is_silent:
        return LinkState.NO_NEW_CONNECTIONS
    return LinkState.ISOLATED
