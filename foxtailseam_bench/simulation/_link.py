"""Links between one host and the searchers, which can be cut, in virtual time."""

from collections.abc import Callable
from enum import Enum, auto

from foxtailseam.http import ExchangeFailure, FailureKind
from foxtailseam_bench.simulation._searcher import (
    NETWORK_SECONDS,
    SimulatedExchange,
    SimulatedSearcher,
)
from foxtailseam_bench.simulation._time import VirtualTime

# Time after which an unanswered connect attempt, and a connection with unacknowledged
# data, fail.
TIMEOUT_SECONDS = 1.0
# Time after which an idle connection is closed.
IDLE_SECONDS = 3.0


class LinkFault(Enum):
    """What happens to the connections of a host to all searchers."""

    NONE = auto()
    # Nothing arrives in either direction.
    SILENT = auto()
    # Open connections break at once, new ones are refused.
    RESET = auto()
    # Open connections live on, new ones are refused.
    REFUSE = auto()


_FAILURES = {
    LinkFault.SILENT: (TIMEOUT_SECONDS, FailureKind.RESET, FailureKind.CONNECT_TIMEOUT),
    LinkFault.RESET: (NETWORK_SECONDS, FailureKind.RESET, FailureKind.REFUSED),
    LinkFault.REFUSE: (NETWORK_SECONDS, FailureKind.RESET, FailureKind.REFUSED),
}

# Faults that break open connections, too.
_BROKEN = (LinkFault.SILENT, LinkFault.RESET)


class SimulatedLink:
    """State of the links of one host; its attributes may be set at any time.

    Attributes
    ----------
    fault : LinkFault
        What happens to the connections.
    call_seconds : float
        Virtual seconds for which a request occupies the link of the host.
    delays : dict of SimulatedSearcher to float
        One-way delays to searchers beyond that of the network of a failure domain, in
        virtual seconds.
    """

    def __init__(self):
        self.fault = LinkFault.NONE
        self.call_seconds = 0.0
        self.delays: dict[SimulatedSearcher, float] = {}
        self._free_at = 0.0

    def take_turn(self, now: float) -> float:
        """Return the virtual seconds after which a request has left the host."""
        self._free_at = max(now, self._free_at) + self.call_seconds
        return self._free_at - now


class LinkedExchange:
    """A request over a link; `is_sent` is whether the searcher may have got it.

    Parameters
    ----------
    done : callable
        Called with the result, unless the request is cancelled first.
    """

    def __init__(self, done: Callable[[object], None]):
        self.done: Callable[[object], None] | None = done
        self.is_sent = True
        self.inner: SimulatedExchange | None = None

    def cancel(self) -> None:
        """Cancel the request, at the searcher too if it got it."""
        self.done = None
        if self.inner is not None:
            self.inner.cancel()

    def finish(self, result: object) -> None:
        """Pass the result on, unless the request was cancelled."""
        done, self.done = self.done, None
        if done is not None:
            done(result)


class LinkedPool:
    """Connections of one host to one searcher; implements `SearcherPool`.

    Parameters
    ----------
    searcher : SimulatedSearcher
        Searcher at the other end.
    link : SimulatedLink
        Links of the host.
    time : VirtualTime
        Clock and timers.
    """

    def __init__(
        self, searcher: SimulatedSearcher, link: SimulatedLink, time: VirtualTime
    ):
        self.searcher = searcher
        self.link = link
        self.time = time
        self.limit = 8
        # Times at which the idle connections were last used.
        self._idle: list[float] = []

    @property
    def has_idle(self) -> bool:
        """Return whether a connection is idle that the searcher has not closed yet."""
        if self.link.fault is LinkFault.NONE:
            return self.searcher.has_idle
        if self.link.fault is LinkFault.RESET:
            self._idle.clear()
        expired = self.time.monotonic() - IDLE_SECONDS
        self._idle = [used_at for used_at in self._idle if used_at > expired]
        return bool(self._idle)

    @property
    def has_capacity(self) -> bool:
        """Return True: the number of connections is not limited in the simulation."""
        return True

    def probe(self, done: Callable[[bool], None]) -> None:
        """Call `done` with whether a connection can be opened."""
        if self.link.fault is LinkFault.NONE:
            self.searcher.probe(done)
        else:
            self.time.call_later(self._failure_seconds(), done, False)

    def connect(self, timeout: float, done: Callable[[bool], None]) -> None:
        """Open a connection and call `done` with whether that succeeded.

        Parameters
        ----------
        timeout : float
            Longest time to wait, in virtual seconds.
        done : callable
            Called once with whether the connection was opened.
        """
        if self.link.fault is LinkFault.NONE:
            self.searcher.connect(timeout, done)
        else:
            self.time.call_later(min(timeout, self._failure_seconds()), done, False)

    def retire(self) -> None:
        """Close the idle connections."""
        self._idle.clear()

    def send(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: Callable[[object], None],
    ) -> LinkedExchange:
        """Send a request unless the link is cut; `done` gets the result."""
        exchange = LinkedExchange(done)
        had_idle = self.has_idle
        if had_idle:
            self._idle = self._idle[:-1]
        elif self.link.fault is not LinkFault.NONE:
            exchange.is_sent = False
            self._schedule_failure(exchange)
            return exchange
        if self.link.fault in _BROKEN:
            payload()
            self._schedule_failure(exchange)
            return exchange

        delay = self.link.delays.get(self.searcher, 0.0)

        def on_result(result: object) -> None:
            if delay:
                self.time.call_later(delay, on_received, result)
            else:
                on_received(result)

        def on_received(result: object) -> None:
            if self.link.fault in _BROKEN:
                self._schedule_failure(exchange)
                return
            self._idle.append(self.time.monotonic())
            exchange.finish(result)

        def send() -> None:
            if exchange.done is not None:
                exchange.inner = self.searcher.send(
                    payload, identifier, is_head, on_result
                )
                exchange.is_sent = exchange.inner.is_sent

        if self.link.call_seconds:
            delay_to = delay + self.link.take_turn(self.time.monotonic())
            self.time.call_later(delay_to, send)
        elif delay:
            self.time.call_later(delay, send)
        else:
            send()
        return exchange

    def _schedule_failure(self, exchange: LinkedExchange) -> None:
        _, sent_kind, unsent_kind = _FAILURES[self.link.fault]
        kind = sent_kind if exchange.is_sent else unsent_kind
        failure = ExchangeFailure(kind, exchange.is_sent)
        self.time.call_later(self._failure_seconds(), exchange.finish, failure)

    def _failure_seconds(self) -> float:
        return _FAILURES[self.link.fault][0]
