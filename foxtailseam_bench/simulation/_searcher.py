"""A simulated searcher in virtual time that can inject faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from foxtailseam.http import (
    ExchangeFailure,
    FailureKind,
    Headers,
    HttpResponse,
    Received,
    find_header,
)
from foxtailseam_bench.simulation._time import Timer, VirtualTime

NETWORK_SECONDS = 0.0005
SHED_STATUS = 503
# Names the limit of a searcher in its responses.
LIMIT_HEADER = b"limit"
# Says in its responses that a searcher is leaving.
LEAVING_HEADER = b"leaving"
# In a rejection: seconds for which a searcher wants no request from the host.
PAUSE_HEADER = b"pause"
# Time after which a searcher that crashed accepts requests again.
RESTART_SECONDS = 2.0


@dataclass
class SimulatedExchange:
    """One request to a simulated searcher.

    `done` is called with the result and is None once that happened or the request was
    cancelled; `is_sent` is false if the connection was refused.
    """

    done: Callable[[object], None] | None
    identifier: bytes
    payload: bytes
    is_sent: bool = True
    timer: Timer | None = None

    def cancel(self) -> None:
        """Cancel the request; if it still waits at the searcher, it is not run."""
        self.done = None


class SimulatedSearcher:
    """A searcher with slots, a queue and faults; implements `SearcherPool`.

    Parameters
    ----------
    time : VirtualTime
        Clock and timers.
    slots : int
        Largest number of concurrent requests.
    service_seconds : float
        Mean service time, in seconds.
    generator : random.Random
        Source of randomness for service times and losses.
    queue_limit : int
        Largest number of waiting requests; more are shed.

    Attributes
    ----------
    slowness : float
        Factor on the service time.
    is_unresponsive : bool
        Whether requests get no result; probes then report that it does not accept.
    is_refusing : bool
        Whether connections for requests and probes are refused.
    paused_until : float
        Time until which requests do not complete, in virtual seconds.
    crashes_on : bytes
        A request with this text in its payload crashes the searcher; empty for none.
    rate_limit : float or None
        Requests per second that the searcher accepts from all hosts together, named in
        each response; None to name none. It does not reject what exceeds the limit.
    is_leaving : bool
        Whether each response says that the searcher is leaving. It serves as before.
    pause_seconds : float or None
        Pause that it asks for in each rejection; None to ask for none.
    turns_away : bool
        Whether it rejects every request.
    leaving_answers, pause_answers : list of tuple of float, bytes
        Time and request identifier of each response that said so.
    limit_answers : list of tuple of float, bytes
        Time and request identifier of each response that named a limit.
    loss_probability : float
        Probability that a request is run and its connection then reset, 0 to 1.
    arrivals : list of tuple of float, bytes
        Arrival time and identifier of each request.
    runs : list of bytes
        Identifier of each request that was run.
    crashes, sheds : int
        Numbers of crashes and of shed requests.
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
        self.rate_limit: float | None = None
        self.limit_answers: list[tuple[float, bytes]] = []
        self.is_leaving = False
        self.pause_seconds: float | None = None
        self.turns_away = False
        self.leaving_answers: list[tuple[float, bytes]] = []
        self.pause_answers: list[tuple[float, bytes]] = []
        self.loss_probability = 0.0
        self.arrivals: list[tuple[float, bytes]] = []
        self.sheds = 0
        self.runs: list[bytes] = []
        self._running = 0
        self._waiting: list[SimulatedExchange] = []

    @property
    def has_idle(self) -> bool:
        """Return True: opening a connection takes no time in the simulation."""
        return True

    @property
    def has_capacity(self) -> bool:
        """Return True: the number of connections is not limited in the simulation."""
        return True

    def probe(self, done: Callable[[bool], None]) -> None:
        """Call `done` after a network round trip with whether the searcher accepts."""
        is_accepting = not (self.is_refusing or self.is_unresponsive)
        self.time.call_later(2 * NETWORK_SECONDS, done, is_accepting)

    def connect(self, timeout: float, done: Callable[[bool], None]) -> None:
        """Call `done` with whether the searcher accepts connections.

        Parameters
        ----------
        timeout : float
            Longest time to wait, in virtual seconds.
        done : callable
            Called once with the result.
        """
        if self.is_unresponsive:
            self.time.call_later(timeout, done, False)
        else:
            self.probe(done)

    def retire(self) -> None:
        """Do nothing, since the simulation has no connections."""

    def send(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: Callable[[object], None],
    ) -> SimulatedExchange:
        """Deliver a request after the network delay; `done` gets its result."""
        exchange = SimulatedExchange(done, identifier, payload())
        if self.is_refusing:
            exchange.is_sent = False
            failure = ExchangeFailure(FailureKind.REFUSED, sent=False)
            self.time.call_later(NETWORK_SECONDS, self._reply, exchange, failure)
        else:
            self.time.call_later(NETWORK_SECONDS, self._arrive, exchange)
        return exchange

    def pause(self, at: float, seconds: float) -> None:
        """Delay completions for `seconds` from the virtual time `at`."""
        self.time.call_later(at - self.time.monotonic(), self._pause, seconds)

    def _pause(self, seconds: float) -> None:
        self.paused_until = self.time.monotonic() + seconds

    def _arrive(self, exchange: SimulatedExchange) -> None:
        if self.is_unresponsive:
            return
        self.arrivals.append((self.time.monotonic(), exchange.identifier))
        if self.turns_away:
            self._reject(exchange)
        elif self._running < self.slots:
            self._run(exchange)
        elif len(self._waiting) < self.queue_limit:
            self._waiting.append(exchange)
        else:
            self._reject(exchange)

    def _reject(self, exchange: SimulatedExchange) -> None:
        self.sheds += 1
        headers = self._condition_headers()
        if self.pause_seconds is not None:
            headers += ((PAUSE_HEADER, b"%g" % self.pause_seconds),)
        shed = Received(HttpResponse(SHED_STATUS, headers))
        self.time.call_later(NETWORK_SECONDS, self._reply, exchange, shed)

    def _crash(self, exchange: SimulatedExchange) -> None:
        self.crashes += 1
        self.is_refusing = True
        self.time.call_later(RESTART_SECONDS, self._restart)
        failure = ExchangeFailure(FailureKind.RESET, sent=True)
        self.time.call_later(NETWORK_SECONDS, self._reply, exchange, failure)

    def _restart(self) -> None:
        self.is_refusing = False

    def _run(self, exchange: SimulatedExchange) -> None:
        self._running += 1
        self.runs.append(exchange.identifier)
        if self.generator.random() < self.loss_probability:
            self._running -= 1
            failure = ExchangeFailure(FailureKind.RESET, sent=True)
            self.time.call_later(NETWORK_SECONDS, self._reply, exchange, failure)
            return
        if self.crashes_on and self.crashes_on in exchange.payload:
            self._running -= 1
            self._crash(exchange)
            return
        variation = self.generator.uniform(0.6, 1.4)
        seconds = self.service_seconds * self.slowness * variation
        self.time.call_later(seconds, self._complete, exchange)

    def _complete(self, exchange: SimulatedExchange) -> None:
        remaining = self.paused_until - self.time.monotonic()
        if remaining > 0:
            self.time.call_later(remaining, self._complete, exchange)
            return
        self._running -= 1
        while self._waiting and self._running < self.slots:
            waiting = self._waiting.pop(0)
            if waiting.done is not None:
                self._run(waiting)
        headers = ((b"stamp", b"s"), *self._condition_headers())
        response = HttpResponse(200, headers, b"0123456789abcdef")
        self.time.call_later(NETWORK_SECONDS, self._reply, exchange, Received(response))

    def _condition_headers(self) -> Headers:
        headers = ()
        if self.rate_limit is not None:
            headers += ((LIMIT_HEADER, b"%g" % self.rate_limit),)
        if self.is_leaving:
            headers += ((LEAVING_HEADER, b"1"),)
        return headers

    def _reply(self, exchange: SimulatedExchange, result: object) -> None:
        done, exchange.done = exchange.done, None
        if done is None:
            return
        match result:
            case Received(response=response):
                answer = (self.time.monotonic(), exchange.identifier)
                for header, answers in (
                    (LIMIT_HEADER, self.limit_answers),
                    (LEAVING_HEADER, self.leaving_answers),
                    (PAUSE_HEADER, self.pause_answers),
                ):
                    if find_header(response.headers, header) is not None:
                        answers.append(answer)
        done(result)
