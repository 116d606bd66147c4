"""A request that is forwarded to one host after another until one serves it."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial

from foxtailseam.clocks import Clock, TimerHandle, Timers
from foxtailseam.forwarding._messages import (
    ForwardedRequest,
    ForwardedResponse,
    Unavailability,
)
from foxtailseam.forwarding._results import Forwarded, ForwardResult, NotForwarded
from foxtailseam.forwarding._selection import PeerHost, PeerSelector
from foxtailseam.forwarding._sending import (
    ForwardSender,
    PeerAnswered,
    PeerFailed,
    PeerResult,
    PendingSend,
)
from foxtailseam.http import HttpResponse

# Largest number of hosts that are asked for one request.
MAX_HOSTS_ASKED = 6
# Largest number of hosts that may refuse one request because of their load.
MAX_REFUSALS = 2
# A request is not forwarded if less time than this is left, in seconds.
MIN_REMAINING_TIME = 0.01
# Bounds of the Retry-After of a request that no host serves, in seconds.
MIN_RETRY_AFTER, MAX_RETRY_AFTER = 0.1, 1.0


def _allow() -> bool:
    return True


@dataclass(eq=False, slots=True)
class _Try:
    """One host that is or was asked.

    Parameters
    ----------
    host : PeerHost
        The host.
    sent_at : float
        Monotonic time of sending, in seconds.
    attempts : int
        Number of searchers of each service that the host may ask.
    pending : PendingSend or None
        The request there; None once the try has ended.
    outcome : str
        How it ended.
    """

    host: PeerHost
    sent_at: float
    attempts: int
    pending: PendingSend | None = None
    outcome: str = "pending"


class Forwarder:
    """What all forwarded requests of this host share.

    Parameters
    ----------
    sender : ForwardSender
        Sends requests to other hosts.
    selector : PeerSelector
        Chooses the hosts.
    hosts : callable
        Returns the alive hosts other than this one.
    clock : Clock
        Source of monotonic time.
    timers : Timers
        Scheduler of delayed calls.
    """

    def __init__(
        self,
        sender: ForwardSender,
        selector: PeerSelector,
        hosts: Callable[[], Sequence[PeerHost]],
        clock: Clock,
        timers: Timers,
    ):
        self.sender = sender
        self.selector = selector
        self.hosts = hosts
        self.clock = clock
        self.timers = timers


class Forward:
    """One forwarded request.

    A host that certainly has not run it is followed by another one. So is one that has
    found out that it cannot serve it, if the request is idempotent. After a host that
    was lost, the request fails: its caller knows whether to repeat it. Beside a host
    that has been silent for too long, an idempotent request goes to a second one; the
    first answer wins. The attempts of all hosts add up to those of the request, so one
    is kept back from a host that has not answered lately.

    Parameters
    ----------
    forwarder : Forwarder
        Shared state.
    request : ForwardedRequest
        Request as of now; its times and attempts are set for each host that is asked.
    expected_at : float
        Monotonic time after which a host that has not answered is avoided.
    deadline_at : float
        Monotonic time after which no answer is awaited.
    on_result : callable
        Called once with the result, unless the request is cancelled first.
    is_idempotent : bool
        Whether the request may run more than once.
    take_extra : callable
        Charges a second host to the budget of extra requests; returns whether it may
        be asked.
    """

    # Attribute that the log lines of all kinds of queries have.
    late_shards = ""

    def __init__(
        self,
        forwarder: Forwarder,
        request: ForwardedRequest,
        expected_at: float,
        deadline_at: float,
        on_result: Callable[[ForwardResult], None],
        is_idempotent: bool,
        take_extra: Callable[[], bool] = _allow,
    ):
        self.forwarder = forwarder
        self.is_idempotent = is_idempotent
        self.request = request
        self.expected_at = expected_at
        self.deadline_at = deadline_at
        self.on_result = on_result
        self.take_extra = take_extra
        # Number of hosts that were asked beside another one.
        self.hedges = 0
        self._created_at = forwarder.clock.monotonic()
        self._tries: list[_Try] = []
        # Attempts that no host has been given.
        self._attempts_left = request.attempts
        self._timers: list[TimerHandle] = []
        self._refusals = 0
        # Whether a host whose try has ended may have started to run it.
        self._has_run_before = False

    @property
    def may_have_run(self) -> bool:
        """Return whether a host may have started to run the request."""
        return self._has_run_before or any(self._running)

    @property
    def _running(self) -> list[_Try]:
        return [item for item in self._tries if item.pending is not None]

    def start(self) -> None:
        """Send the request to a host."""
        self._call_at(self.expected_at, self._on_overdue)
        self._call_at(self.deadline_at, self._on_deadline)
        self._send_to_next(Unavailability.ISOLATED)

    def cancel(self) -> None:
        """Cancel the request because its caller disconnected; no result follows."""
        self._end("cancelled")

    def describe(self) -> str:
        """Return the hosts asked, as text for the request log."""
        return ",".join(
            f"{item.host.address}"
            f"@{round((item.sent_at - self._created_at) * 1000)}:{item.outcome}"
            for item in self._tries
        )

    def _send_to_next(self, reason: Unavailability) -> None:
        """Ask another host; without one, wait for those that are asked or fail."""
        host = self._choose_host()
        if host is not None:
            self._send(host)
        elif not self._running:
            self._fail(reason, self._has_run_before)

    def _choose_host(self) -> PeerHost | None:
        forwarder = self.forwarder
        has_time = self.deadline_at - forwarder.clock.monotonic() >= MIN_REMAINING_TIME
        may_ask = len(self._tries) < MAX_HOSTS_ASKED and self._attempts_left > 0
        if not (has_time and may_ask):
            return None
        tried = {item.host.address for item in self._tries}
        return forwarder.selector.choose(forwarder.hosts(), tried)

    def _send(self, host: PeerHost) -> None:
        forwarder = self.forwarder
        now = forwarder.clock.monotonic()
        attempts = self._attempts_for(host)
        self._attempts_left -= attempts
        item = _Try(host, now, attempts)
        self._tries.append(item)
        forwarder.selector.begin(host)
        elapsed_ms = self.request.elapsed_ms + (now - self._created_at) * 1000
        request = replace(self.request, elapsed_ms=elapsed_ms, attempts=attempts)
        item.pending = forwarder.sender.send(
            host.address, request, partial(self._on_result, item)
        )

    def _attempts_for(self, host: PeerHost) -> int:
        left = self._attempts_left
        may_need_second = self.is_idempotent and left > 1 and not self._running
        if may_need_second and not self.forwarder.selector.has_answered_lately(host):
            return left - 1
        return left

    def _on_result(self, item: _Try, result: PeerResult) -> None:
        selector = self.forwarder.selector
        match result:
            case PeerAnswered(response=response) if response.unavailable is None:
                selector.record_answer(item.host)
                self._on_response(
                    item, HttpResponse(response.status, response.headers, response.body)
                )
            case PeerAnswered(response=response):
                selector.record_answer(item.host)
                selector.record_help(response.helpers)
                self._on_declined(item, response)
            case PeerFailed(reason=reason, sent=False):
                self._attempts_left += item.attempts
                self._on_unavailable(item, reason)
            case PeerFailed(reason=reason):
                self._on_lost(item, reason)

    def _on_response(self, item: _Try, response: HttpResponse) -> None:
        result = Forwarded(item.host.address, response)
        if result.is_refused:
            self._on_refused(item, result)
            return
        self._end_try(item, str(response.status))
        self._end("abandoned")
        self.forwarder.selector.record_help((item.host.address,))
        self.on_result(result)

    def _on_refused(self, item: _Try, result: Forwarded) -> None:
        self._refusals += 1
        self._attempts_left += item.attempts
        may_ask_other = self._refusals < MAX_REFUSALS
        if self._running_beside(item) or (may_ask_other and self._choose_host()):
            self._on_unavailable(item, Unavailability.BUSY)
            return
        self._end_try(item, str(result.response.status))
        if self._has_run_before:
            # The host cannot know that another one may have run the request.
            self._fail(Unavailability.BUSY, may_have_run=True)
            return
        self._end("abandoned")
        self.forwarder.selector.record_help((item.host.address,))
        self.on_result(result)

    def _on_declined(self, item: _Try, response: ForwardedResponse) -> None:
        self._attempts_left += item.attempts - response.attempts_run
        self._has_run_before = self._has_run_before or response.attempts_run > 0
        if not self._has_run_before or self.is_idempotent:
            self._on_unavailable(item, response.unavailable)
        else:
            self._on_lost(item, response.unavailable)

    def _on_unavailable(self, item: _Try, reason: Unavailability) -> None:
        self.forwarder.selector.avoid(item.host, reason)
        self._end_try(item, reason)
        self._send_to_next(reason)

    def _on_lost(self, item: _Try, reason: Unavailability) -> None:
        self.forwarder.selector.avoid(item.host, reason)
        self._end_try(item, reason)
        self._has_run_before = True
        if not self._running:
            self._fail(reason, may_have_run=True)

    def _on_overdue(self) -> None:
        running = self._running
        for item in running:
            self.forwarder.selector.avoid(item.host, Unavailability.LOST)
        host = self._choose_host() if running and self.is_idempotent else None
        if host is not None and self.take_extra():
            self.hedges += 1
            self._send(host)

    def _on_deadline(self) -> None:
        may_have_run = self.may_have_run
        self._end("deadline")
        self._fail(Unavailability.LOST, may_have_run)

    def _fail(self, reason: Unavailability, may_have_run: bool) -> None:
        self._end(reason)
        wait = self.forwarder.selector.wait()
        retry_after = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        self.on_result(
            NotForwarded(reason, may_have_run, timedelta(seconds=retry_after))
        )

    def _running_beside(self, item: _Try) -> bool:
        return any(other is not item for other in self._running)

    def _end(self, outcome: str) -> None:
        """Cancel the timers and the request at all hosts that still have it."""
        for timer in self._timers:
            timer.cancel()
        for item in self._running:
            item.pending.cancel()
            self._end_try(item, outcome)

    def _end_try(self, item: _Try, outcome: str) -> None:
        item.pending = None
        item.outcome = outcome
        self.forwarder.selector.end(item.host)

    def _call_at(self, when: float, callback: Callable[[], None]) -> None:
        delay = max(0.0, when - self.forwarder.clock.monotonic())
        self._timers.append(self.forwarder.timers.call_later(delay, callback))
