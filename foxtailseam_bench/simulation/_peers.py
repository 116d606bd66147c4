"""Forwarding of requests between simulated hosts, in virtual time."""

import random
from collections.abc import Callable, Sequence

from foxtailseam.delegation import CoordinatorSelector, DelegatedCall, Delegator
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
    frozen : set of str
        Addresses of hosts that get no delegated query.
    served : list of str
        Address of the host for each forwarded request, in the order of arrival.
    """

    def __init__(self, time: VirtualTime):
        self.time = time
        self.lost: set[str] = set()
        self.silent: set[str] = set()
        self.frozen: set[str] = set()
        self.served: list[str] = []
        self._fronts: dict[str, FrontEnd] = {}
        self._domains: dict[str, str] = {}
        # Calls to shards that each host can send in a second.
        self._rates: dict[str, int] = {}

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

    def set_rates(self, rates: Sequence[int]) -> None:
        """Let each host delegate queries by its and the others' rates of calls."""
        self._rates = dict(zip(self._fronts, rates, strict=True))
        for address, front in self._fronts.items():
            front.peers.shard_call_rate = self._rates[address]
            selector = PeerSelector(
                self.time, random.Random(address), self._domains[address]
            )
            others = tuple(self._others_of(address)())
            coordinators = CoordinatorSelector(
                selector, self._rates[address], lambda others=others: others
            )
            front.delegation.delegator = Delegator(
                self, coordinators, self.time, self.time
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

    def delegate(
        self,
        address: str,
        request: ForwardedRequest,
        attempts: int,
        on_accepted: Callable[[], None],
        done: Callable[[PeerResult], None],
    ) -> SimulatedForward:
        """Send a query to a coordinator; see `DelegationSender.delegate`."""
        forward = SimulatedForward(done)

        def arrive() -> None:
            if address not in self.frozen:
                self._arrive(address, request, forward, accept)

        def accept(call: DelegatedCall) -> None:
            if address not in self.silent:
                self.time.call_later(HOP_SECONDS, confirm, call)

        def confirm(call: DelegatedCall) -> None:
            if forward.done is not None:
                on_accepted()
                self.time.call_later(HOP_SECONDS, call.allow_attempts, attempts)

        self.time.call_later(HOP_SECONDS, arrive)
        return forward

    def _others_of(self, address: str) -> Callable[[], list[PeerHost]]:
        return lambda: [
            PeerHost(other, domain, self._rates.get(other, 0))
            for other, domain in self._domains.items()
            if other != address
        ]

    def _arrive(
        self,
        address: str,
        request: ForwardedRequest,
        forward: SimulatedForward,
        accept: Callable[[DelegatedCall], None] | None = None,
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
        front = self._fronts[address]
        if accept is None:
            forward.cancel_at_peer = front.serve_forwarded(request, reply)
            return
        call = front.serve_delegated(request, reply)
        forward.cancel_at_peer = call.cancel
        accept(call)
