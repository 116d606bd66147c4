"""What this process knows of its peers."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.timeline import Recorder


class PeerState(StrEnum):
    """Whether a peer may be given work."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"


class PeerEvent(StrEnum):
    """What was learnt of a peer."""

    HEARD = "heard"
    SAID_DRAINING = "said-draining"
    NO_REPLY = "no-reply"
    REFUSED = "refused"


_S = PeerState
_E = PeerEvent

TRANSITIONS: dict[tuple[PeerState, PeerEvent], PeerState] = {
    **{(state, _E.HEARD): _S.ALIVE for state in PeerState},
    **{(state, _E.SAID_DRAINING): _S.DRAINING for state in PeerState},
    **{(state, _E.NO_REPLY): _S.SUSPECT for state in PeerState},
    **{(state, _E.REFUSED): _S.SUSPECT for state in PeerState},
}

FORGET_AFTER = timedelta(minutes=5)


@dataclass(frozen=True, slots=True)
class _Peer:
    state: PeerState
    changed_at: float


class PeerTable:
    """States of the peers by address; own observation, no hearsay.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    recorder : Recorder
        Where changes are reported.
    """

    def __init__(self, clock: Clock, recorder: Recorder):
        self.clock = clock
        self.recorder = recorder
        self._peers: dict[str, _Peer] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Return a number that rises with each change of a state."""
        return self._version

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the peers that did not reply lately."""
        return tuple(
            address
            for address, peer in list(self._peers.items())
            if peer.state is PeerState.SUSPECT
        )

    def state(self, address: str) -> PeerState:
        """Return the state of a peer; one never heard of counts as alive."""
        peer = self._peers.get(address)
        return peer.state if peer else PeerState.ALIVE

    def apply(self, address: str, event: PeerEvent) -> None:
        """Apply an event and report a change."""
        before = self.state(address)
        after = TRANSITIONS[(before, event)]
        if after is before:
            return
        self._version += 1
        self._peers[address] = _Peer(after, self.clock.monotonic())
        self.recorder.record(
            EventCode.PEER_STATE, peer=address, state=after, event=event
        )

    def forget_old(self, listed: frozenset[str]) -> None:
        """Drop peers that left the list of hosts a while ago."""
        oldest = self.clock.monotonic() - FORGET_AFTER.total_seconds()
        for address, peer in list(self._peers.items()):
            if address not in listed and peer.changed_at < oldest:
                del self._peers[address]
