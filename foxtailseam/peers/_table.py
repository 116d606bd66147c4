"""The states of the peers, as observed by this process."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.timeline import Recorder


class PeerState(StrEnum):
    """State of a peer; only an alive peer should get new work."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"


class PeerEvent(StrEnum):
    """Observation of a peer, which determines its state."""

    MESSAGE_RECEIVED = "heard"
    DRAINING_ANNOUNCED = "said-draining"
    NO_REPLY = "no-reply"
    CONNECT_FAILED = "refused"


_S = PeerState
_E = PeerEvent

TRANSITIONS: dict[tuple[PeerState, PeerEvent], PeerState] = {
    **{(state, _E.MESSAGE_RECEIVED): _S.ALIVE for state in PeerState},
    **{(state, _E.DRAINING_ANNOUNCED): _S.DRAINING for state in PeerState},
    **{(state, _E.NO_REPLY): _S.SUSPECT for state in PeerState},
    **{(state, _E.CONNECT_FAILED): _S.SUSPECT for state in PeerState},
}

UNLISTED_RETENTION = timedelta(minutes=5)


@dataclass(frozen=True, slots=True)
class _Peer:
    state: PeerState
    changed_at: float


class PeerTable:
    """States of the peers by address.

    Based only on observations of this process, not on reports of other peers.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    recorder : Recorder
        Records changes of state.
    """

    def __init__(self, clock: Clock, recorder: Recorder):
        self.clock = clock
        self.recorder = recorder
        self._peers: dict[str, _Peer] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Return the number of state changes so far, to detect outdated caches."""
        return self._version

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the addresses of the peers whose last call got no reply."""
        return tuple(
            address
            for address, peer in list(self._peers.items())
            if peer.state is PeerState.SUSPECT
        )

    def state(self, address: str) -> PeerState:
        """Return the state of the peer at `address`; an unknown peer is alive."""
        peer = self._peers.get(address)
        return peer.state if peer else PeerState.ALIVE

    def apply(self, address: str, event: PeerEvent) -> None:
        """Update the state of a peer and record a change.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the peer.
        event : PeerEvent
            The observation.
        """
        before = self.state(address)
        after = TRANSITIONS[(before, event)]
        if after is before:
            return
        self._version += 1
        self._peers[address] = _Peer(after, self.clock.monotonic())
        self.recorder.record(
            EventCode.PEER_STATE, peer=address, state=after, event=event
        )

    def remove_unlisted(self, listed: frozenset[str]) -> None:
        """Remove unlisted peers without a state change in `UNLISTED_RETENTION`.

        Parameters
        ----------
        listed : frozenset of str
            Addresses of all processes in the list of hosts.
        """
        cutoff = self.clock.monotonic() - UNLISTED_RETENTION.total_seconds()
        for address, peer in list(self._peers.items()):
            if address not in listed and peer.changed_at < cutoff:
                del self._peers[address]
