"""A tier in virtual time: the real decisions, simulated searchers and callers."""

import heapq
import json
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from itertools import count

from foxtailseam.clocks import HybridClock
from foxtailseam.dispatch import AnswerMarks, BudgetSettings, Dispatcher
from foxtailseam.front import (
    FrontEnd,
    Knowledge,
    OverloadGuard,
    SuspicionGuard,
    TimingSettings,
)
from foxtailseam.http import HttpRequest, HttpResponse, LossKind, Lost, Received
from foxtailseam.metrics import Metrics
from foxtailseam.quarantine import QuarantineController
from foxtailseam.store import Item

NETWORK_SECONDS = 0.0005
SHED_STATUS = 503
# A searcher that crashed is back after this time.
CRASH_SECONDS = 2.0
START = datetime(2026, 1, 1, tzinfo=UTC)


class Timer:
    """A call that is due at a time."""

    def __init__(self, callback: Callable[[], None]):
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Forget the call."""
        self.callback = None


class VirtualTime:
    """A clock that jumps to the next timer; implements `Clock` and `Timers`."""

    def __init__(self):
        # Not a ManualClock: its steps of a microsecond would leave timers due.
        self._now = 0.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._numbers = count()

    def monotonic(self) -> float:
        """Return the virtual seconds since the start."""
        return self._now

    def now(self) -> datetime:
        """Return the virtual wall time."""
        return START + timedelta(seconds=self._now)

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object
    ) -> Timer:
        """Call `callback` after `delay` virtual seconds."""
        timer = Timer(lambda: callback(*args))
        due = self.monotonic() + max(0.0, delay)
        heapq.heappush(self._heap, (due, next(self._numbers), timer))
        return timer

    def run_until(self, end: float) -> None:
        """Run every timer that is due until `end`."""
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            self._advance(due)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()
        self._advance(end)

    def _advance(self, moment: float) -> None:
        self._now = max(self._now, moment)


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
        self.is_dark = False
        self.is_refusing = False
        self.paused_until = 0.0
        self.crashes_on = b""
        self.crashes = 0
        self.lost_share = 0.0
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
        lives = not (self.is_refusing or self.is_dark)
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
        if self.is_dark:
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
        if self.generator.random() < self.lost_share:
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


@dataclass
class SimulatedCall:
    """A caller's request; implements what the front end uses of a `Call`."""

    request: HttpRequest
    sent_at: float
    kind: str
    on_gone: Callable[[], None] | None = None
    response: HttpResponse | None = None
    answered_at: float = 0.0
    time: VirtualTime | None = None
    log: list = field(default_factory=list)

    def answer(self, response: HttpResponse) -> None:
        """Keep the answer."""
        if self.response is not None:
            raise AssertionError("a request was answered twice")
        self.response = response
        self.answered_at = self.time.monotonic()

    @property
    def seconds(self) -> float:
        """Return how long the answer took."""
        return self.answered_at - self.sent_at

    @property
    def missing(self) -> int:
        """Return how many shards the answer lacks."""
        headers = {name.lower(): value for name, value in self.response.headers}
        return int(headers.get(b"foxtailseam-missing-parts", b"0"))


class _SilentLog:
    def write(self, *_args, **_fields) -> None:
        """Keep nothing."""


def read_simulated_answer(status: int, headers) -> AnswerMarks:
    """Read what a simulated searcher says of its answer."""
    stamp = b"s" if headers else b""
    return AnswerMarks(stamp, status == SHED_STATUS, False)


class SimulatedTier:
    """One host's front end over simulated searchers.

    Parameters
    ----------
    routes : list of dict
        Routes in the platform's form.
    searchers : dict of str to list of SimulatedSearcher
        The searchers of each service.
    time : VirtualTime
        Clock and timers.
    seed : int
        Seed of the choices.
    hosts : int
        Hosts that share the budgets.
    """

    def __init__(
        self,
        routes: list[dict],
        searchers: dict[str, list[SimulatedSearcher]],
        time: VirtualTime,
        seed: int = 1,
        hosts: int = 1,
    ):
        self.time = time
        self.searchers = searchers
        self.metrics = Metrics()
        self.calls: list[SimulatedCall] = []
        self._numbers = count()
        generator = random.Random(seed)
        self._links: dict[str, SimulatedSearcher] = {}
        self.dispatcher = Dispatcher(
            time,
            time,
            lambda address, limit: self._links[address],
            read_simulated_answer,
            BudgetSettings(0.2, 50.0, timedelta(seconds=10)),
            "d1",
            self.metrics,
            generator,
        )
        self.dispatcher.hosts = hosts
        guard = OverloadGuard(time, generator)
        log = _SilentLog()
        quarantine = QuarantineController(time, HybridClock(time))
        suspicion = SuspicionGuard(quarantine, log)
        self.dispatcher.on_crash = suspicion.crashed
        self.knowledge = Knowledge(
            self.dispatcher, time, log, generator, guard.configure
        )
        self.front = FrontEnd(
            self.knowledge,
            self.dispatcher,
            time,
            log,
            self.metrics,
            lambda: True,
            TimingSettings(),
            guard,
            suspicion,
        )
        self._publish(routes)

    def send(self, path: str, deadline_ms: int = 1_200) -> SimulatedCall:
        """Send a request now."""
        identifier = b"%016x" % next(self._numbers)
        headers = (
            (b"Host", b"a.example"),
            (b"Foxtailseam-Request-Id", identifier),
            (b"Foxtailseam-Deadline-Ms", b"%d" % deadline_ms),
        )
        now = self.time.monotonic()
        request = HttpRequest(b"GET", path.encode(), headers, b"", now, 0.006)
        call = SimulatedCall(request, now, path, time=self.time)
        self.calls.append(call)
        self.front.serve(call)
        return call

    def load(self, path: str, rate: float, start: float, end: float) -> None:
        """Send requests at a steady rate between two times."""
        for number in range(int((end - start) * rate)):
            at = start + number / rate
            self.time.call_later(at - self.time.monotonic(), self.send, path)

    def answered(self, path: str = "") -> Iterator[SimulatedCall]:
        """Yield the calls that have an answer."""
        for call in self.calls:
            if call.response is not None and path in call.kind:
                yield call

    def _publish(self, routes: list[dict]) -> None:
        services = [{"name": name, "max_conns": 26} for name in self.searchers]
        document = {"version": 1, "routes": routes, "services": services}
        value = json.dumps(document).encode()
        self.knowledge.take(Item("op/config", value, 1))
        for service, members in self.searchers.items():
            for number, searcher in enumerate(members):
                address = f"10.0.{len(self._links)}.{number}:80"
                self._links[address] = searcher
                entry = {
                    "service": service,
                    "address": address,
                    "zone": f"d{number + 1}",
                    "max_concurrency": searcher.slots,
                    "state": "ready",
                }
                key = f"servers/{service}-{number}"
                self.knowledge.take(Item(key, json.dumps(entry).encode(), 2))


@contextmanager
def simulated_shards(
    shards: int = 20, service_seconds: float = 0.011, seed: int = 1, **options
):
    """Give a tier with shards of two searchers and a query over all of them."""
    time = VirtualTime()
    generator = random.Random(seed)
    searchers = {
        f"shard{number}": [
            SimulatedSearcher(time, 2, service_seconds, generator) for _ in range(2)
        ]
        for number in range(shards)
    }
    routes = [
        {
            "name": name,
            "host": "a.example",
            "path_prefix": f"/{name}/",
            "type": "idempotent",
            "timeout_ms": 1_200,
            "latency_goal_ms": 92,
            "max_attempts": 2,
            "priority": priority,
            "gather": list(searchers),
            "top_k": 5,
            "min_version": 0.89,
        }
        for name, priority in (("urgent", 1), ("other", 2))
    ]
    yield SimulatedTier(routes, searchers, time, seed, **options)
