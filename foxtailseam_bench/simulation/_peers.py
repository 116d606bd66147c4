"""Forwarding of requests between simulated hosts, in virtual time."""

import random
from collections.abc import Callable, Sequence

from foxtailseam.forwarding import (
    ForwardedRequest,
    ForwardedResponse,
    Forwarder,
    PeerAnswered,
    PeerFailed,
    PeerHost,
    PeerResult,
    PeerSelector,
    Unavailability,
)
from foxtailseam.front import FrontEnd
from foxtailseam_bench.simulation._time import VirtualTime

# Time of a message from one host to another.
HOP_SECONDS = 0.002


class SimulatedForward:
    """A forwarded request whose answer is awaited; `cancel` cancels it at the peer."""

    def __init__(self, done: Callable[[PeerResult], None]):
        self.done: Callable[[PeerResult], None] | None = done
        self.cancel_at_peer: Callable[[], None] = lambda: None

    def cancel(self) -> None:
        """Cancel the request at the other host."""
        self.done = None
        self.cancel_at_peer()

    def finish(self, result: PeerResult) -> None:
        """Pass the result on, unless the request was cancelled."""
        done, self.done = self.done, None
        if done is not None:
            done(result)


class SimulatedPeers:
    """The hosts of a deployment that forward requests to one another.

    Parameters
    ----------
    time : VirtualTime
        Clock and timers.

    Attributes
    ----------
    lost : set of str
        Addresses of hosts that answer no forwarded request any more.
    silent : set of str
        Addresses of hosts whose answers do not arrive.
    served : list of str
        Address of the host for each forwarded request, in the order of arrival.
    """

    def __init__(self, time: VirtualTime):
        self.time = time
        self.lost: set[str] = set()
        self.silent: set[str] = set()
        self.served: list[str] = []
        self._fronts: dict[str, FrontEnd] = {}
        self._domains: dict[str, str] = {}

    def join(self, fronts: Sequence[FrontEnd], seed: int) -> None:
        """Let hosts forward to one another; three in turn share a failure domain."""
        for number, front in enumerate(fronts):
            address = f"host-{number}"
            domain = f"d{number % 3 + 1}"
            self._fronts[address] = front
            self._domains[address] = domain
            front.peers.address = address
            front.peers.failure_domain = domain
            selector = PeerSelector(self.time, random.Random(seed + number), domain)
            front.peers.forwarder = Forwarder(
                self, selector, self._others_of(address), self.time, self.time
            )

    def send(
        self,
        address: str,
        request: ForwardedRequest,
        done: Callable[[PeerResult], None],
    ) -> SimulatedForward:
        """Send a request to a host; see `ForwardSender.send`."""
        forward = SimulatedForward(done)
        self.time.call_later(HOP_SECONDS, self._arrive, address, request, forward)
        return forward

    def _others_of(self, address: str) -> Callable[[], list[PeerHost]]:
        return lambda: [
            PeerHost(other, domain)
            for other, domain in self._domains.items()
            if other != address
        ]

    def _arrive(
        self, address: str, request: ForwardedRequest, forward: SimulatedForward
    ) -> None:
        if forward.done is None:
            return
        if address in self.lost:
            forward.finish(PeerFailed(Unavailability.UNREACHABLE, sent=False))
            return

        def reply(response: ForwardedResponse) -> None:
            if address in self.silent:
                return
            if address in self.lost:
                result = PeerFailed(Unavailability.LOST, sent=True)
            else:
                result = PeerAnswered(response)
            self.time.call_later(HOP_SECONDS, forward.finish, result)

        self.served.append(address)
        forward.cancel_at_peer = self._fronts[address].serve_forwarded(request, reply)
