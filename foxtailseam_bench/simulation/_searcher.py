"""A searcher in virtual time, with its troubles."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from foxtailseam.http import HttpResponse, LossKind, Lost, Received
from foxtailseam_bench.simulation._time import Timer, VirtualTime

NETWORK_SECONDS = 0.0005
SHED_STATUS = 503
# A searcher that crashed is back after this time.
CRASH_SECONDS = 2.0


@dataclass
class SimulatedExchange:
    """One request at a simulated searcher."""

    done: Callable[[object], None] | None
    identifier: bytes
    payload: bytes
    is_sent: bool = True
    timer: Timer | None = None

    def cancel(self) -> None:
        """Give up; the searcher drops the request."""
        self.done = None


class SimulatedSearcher:
    """A searcher with slots, a queue and troubles; implements `SearcherLink`.

    Parameters
    ----------
    time : VirtualTime
        Clock and timers.
    slots : int
        Requests run at a time.
    service_seconds : float
        Mean service time.
    generator : random.Random
        Source of service times.
    queue_limit : int
        Requests that wait at the searcher; more are turned away.
    """

    def __init__(
        self,
        time: VirtualTime,
        slots: int,
        service_seconds: float,
        generator: random.Random,
        queue_limit: int = 12,
    ):
        self.time = time
        self.slots = slots
        self.service_seconds = service_seconds
        self.generator = generator
        self.queue_limit = queue_limit
        self.limit = 8
        self.slowness = 1.0
        self.is_unresponsive = False
        self.is_refusing = False
        self.paused_until = 0.0
        self.crashes_on = b""
        self.crashes = 0
        self.loss_probability = 0.0
        self.arrivals: list[tuple[float, bytes]] = []
        self.sheds = 0
        self.runs: list[bytes] = []
        self._running = 0
        self._queue: list[SimulatedExchange] = []

    @property
    def has_idle(self) -> bool:
        """Return True: connections cost nothing here."""
        return True

    @property
    def has_room(self) -> bool:
        """Return True: only slots are scarce here."""
        return True

    def probe(self, done: Callable[[bool], None]) -> None:
        """Tell after the way there and back whether the searcher lives."""
        lives = not (self.is_refusing or self.is_unresponsive)
        self.time.call_later(2 * NETWORK_SECONDS, done, lives)

    def retire(self) -> None:
        """Do nothing: there are no connections."""

    def send(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: Callable[[object], None],
    ) -> SimulatedExchange:
        """Receive a request after the way through the network."""
        exchange = SimulatedExchange(done, identifier, payload())
        if self.is_refusing:
            exchange.is_sent = False
            lost = Lost(LossKind.REFUSED, sent=False)
            self.time.call_later(NETWORK_SECONDS, self._reply, exchange, lost)
        else:
            self.time.call_later(NETWORK_SECONDS, self._arrive, exchange)
        return exchange

    def pause(self, at: float, seconds: float) -> None:
        """Stand still for a while."""
        self.time.call_later(at - self.time.monotonic(), self._pause, seconds)

    def _pause(self, seconds: float) -> None:
        self.paused_until = self.time.monotonic() + seconds

    def _arrive(self, exchange: SimulatedExchange) -> None:
        if self.is_unresponsive:
            return
        self.arrivals.append((self.time.monotonic(), exchange.identifier))
        if self._running < self.slots:
            self._run(exchange)
        elif len(self._queue) < self.queue_limit:
            self._queue.append(exchange)
        else:
            self.sheds += 1
            shed = Received(HttpResponse(SHED_STATUS))
            self.time.call_later(NETWORK_SECONDS, self._reply, exchange, shed)

    def _crash(self, exchange: SimulatedExchange) -> None:
        self.crashes += 1
        self.is_refusing = True
        self.time.call_later(CRASH_SECONDS, self._restart)
        lost = Lost(LossKind.RESET, sent=True)
        self.time.call_later(NETWORK_SECONDS, self._reply, exchange, lost)

    def _restart(self) -> None:
        self.is_refusing = False

    def _run(self, exchange: SimulatedExchange) -> None:
        self._running += 1
        self.runs.append(exchange.identifier)
        if self.generator.random() < self.loss_probability:
            self._running -= 1
            lost = Lost(LossKind.RESET, sent=True)
            self.time.call_later(NETWORK_SECONDS, self._reply, exchange, lost)
            return
        if self.crashes_on and self.crashes_on in exchange.payload:
            self._running -= 1
            self._crash(exchange)
            return
        spread = self.generator.uniform(0.6, 1.4)
        seconds = self.service_seconds * self.slowness * spread
        self.time.call_later(seconds, self._end, exchange)

    def _end(self, exchange: SimulatedExchange) -> None:
        left = self.paused_until - self.time.monotonic()
        if left > 0:
            self.time.call_later(left, self._end, exchange)
            return
        self._running -= 1
        while self._queue and self._running < self.slots:
            waiting = self._queue.pop(0)
            if waiting.done is not None:
                self._run(waiting)
        response = HttpResponse(200, ((b"stamp", b"s"),), b"0123456789abcdef")
        self.time.call_later(NETWORK_SECONDS, self._reply, exchange, Received(response))

    def _reply(self, exchange: SimulatedExchange, result: object) -> None:
        done, exchange.done = exchange.done, None
        if done is not None:
            done(result)
