"""A request that is forwarded to one host after another until one serves it."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Protocol

from foxtailseam.clocks import Clock, TimerHandle, Timers
from foxtailseam.forwarding._messages import (
    ForwardedRequest,
    ForwardedResponse,
    Unavailability,
)
from foxtailseam.forwarding._selection import PeerHost, PeerSelector
from foxtailseam.forwarding._sending import (
    PeerAnswered,
    PeerFailed,
    PeerResult,
    PendingSend,
)
from foxtailseam.http import HttpResponse

# Largest number of hosts that are asked for one request. None of those but the last has
# run it.
MAX_HOSTS_ASKED = 6
# Largest number of hosts that may refuse one request because of their load.
MAX_REFUSALS = 2
# A request is not forwarded if less time than this is left, in seconds.
MIN_REMAINING_TIME = 0.01
# Bounds of the Retry-After of a request that no host serves, in seconds.
MIN_RETRY_AFTER, MAX_RETRY_AFTER = 0.1, 1.0
# Status that states that a host refused a request and has not run it.
_REFUSED = 503


class ForwardSender(Protocol):
    """Sends forwarded requests to other hosts."""

    def send(
        self,
        address: str,
        request: ForwardedRequest,
        done: Callable[[PeerResult], None],
    ) -> PendingSend:
        """Send a request; `done` is called later, once, unless it is cancelled.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the other host.
        request : ForwardedRequest
            Request to send.
        done : callable
            Called with the result.
        """


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A host has answered a forwarded request.

    Parameters
    ----------
    host : str
        Address of the host.
    response : HttpResponse
        Its response for the caller.
    """

    host: str
    response: HttpResponse

    @property
    def is_refused(self) -> bool:
        """Return whether the host refused the request, so that it has not run it."""
        return self.response.status == _REFUSED


@dataclass(frozen=True, slots=True)
class NotForwarded:
    """No host has answered a forwarded request.

    Parameters
    ----------
    reason : Unavailability
        Why the host that was asked last has not answered; ISOLATED if none was asked.
    may_have_run : bool
        False only if certainly no host has run the request.
    retry_after : timedelta
        Time after which the caller should retry.
    """

    reason: Unavailability
    may_have_run: bool
    retry_after: timedelta


ForwardResult = Forwarded | NotForwarded


@dataclass(frozen=True, slots=True)
class _Try:
    host: PeerHost
    sent_at: float
    outcome: str


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
    was lost, the request fails: its caller knows whether to repeat it.

    Parameters
    ----------
    forwarder : Forwarder
        Shared state.
    request : ForwardedRequest
        Request as of now; its times are updated for each host that is asked.
    expected_at : float
        Monotonic time after which a host that has not answered is avoided.
    deadline_at : float
        Monotonic time after which no answer is awaited.
    on_result : callable
        Called once with the result, unless the request is cancelled first.
    is_idempotent : bool
        Whether the request may run more than once.
    """

    # Attributes that the log lines of all kinds of queries have.
    hedges = 0
    late_shards = ""

    def __init__(
        self,
        forwarder: Forwarder,
        request: ForwardedRequest,
        expected_at: float,
        deadline_at: float,
        on_result: Callable[[ForwardResult], None],
        is_idempotent: bool,
    ):
        self.forwarder = forwarder
        self.is_idempotent = is_idempotent
        self.request = request
        self.expected_at = expected_at
        self.deadline_at = deadline_at
        self.on_result = on_result
        self._created_at = forwarder.clock.monotonic()
        self._tries: list[_Try] = []
        self._current: PeerHost | None = None
        self._sent_at = self._created_at
        self._pending: PendingSend | None = None
        self._timers: list[TimerHandle] = []
        self._refusals = 0
        # Whether a host that could not serve it may have started to run it.
        self._has_run_before = False

    @property
    def may_have_run(self) -> bool:
        """Return whether a host may have started to run the request."""
        return self._current is not None or self._has_run_before

    def start(self) -> None:
        """Send the request to a host."""
        self._call_at(self.expected_at, self._on_overdue)
        self._call_at(self.deadline_at, self._on_deadline)
        self._send_to_next(Unavailability.ISOLATED)

    def cancel(self) -> None:
        """Cancel the request because its caller disconnected; no result follows."""
        self._cancel_timers()
        if self._pending is not None:
            self._pending.cancel()
        self._end_try("cancelled")

    def describe(self) -> str:
        """Return the hosts asked, as text for the request log."""
        return ",".join(
            f"{item.host.address}"
            f"@{round((item.sent_at - self._created_at) * 1000)}:{item.outcome}"
            for item in self._tries
        )

    def _send_to_next(self, reason: Unavailability) -> None:
        forwarder = self.forwarder
        now = forwarder.clock.monotonic()
        has_time = self.deadline_at - now >= MIN_REMAINING_TIME
        host = None
        if has_time and len(self._tries) < MAX_HOSTS_ASKED:
            tried = {item.host.address for item in self._tries}
            host = forwarder.selector.choose(forwarder.hosts(), tried)
        if host is None:
            self._fail(reason, self._has_run_before)
            return
        self._current = host
        self._sent_at = now
        forwarder.selector.begin(host)
        elapsed_ms = self.request.elapsed_ms + (now - self._created_at) * 1000
        request = replace(self.request, elapsed_ms=elapsed_ms)
        self._pending = forwarder.sender.send(host.address, request, self._on_result)

    def _on_result(self, result: PeerResult) -> None:
        self._pending = None
        host = self._current
        match result:
            case PeerAnswered(response=response) if response.unavailable is None:
                self._on_response(
                    host, HttpResponse(response.status, response.headers, response.body)
                )
            case PeerAnswered(response=response):
                self.forwarder.selector.record_help(response.helpers)
                self._on_declined(host, response)
            case PeerFailed(reason=reason, sent=False):
                self._on_unavailable(host, reason)
            case PeerFailed(reason=reason):
                self.forwarder.selector.avoid(host, reason)
                self._end_try(reason)
                self._fail(reason, may_have_run=True)

    def _on_response(self, host: PeerHost, response: HttpResponse) -> None:
        result = Forwarded(host.address, response)
        self._refusals += result.is_refused
        may_ask_other = result.is_refused and self._refusals < MAX_REFUSALS
        if may_ask_other and self._has_other(host):
            self._on_unavailable(host, Unavailability.BUSY)
            return
        self._end_try(str(response.status))
        self._cancel_timers()
        self.forwarder.selector.record_help((host.address,))
        self.on_result(result)

    def _has_other(self, host: PeerHost) -> bool:
        tried = {host.address, *(item.host.address for item in self._tries)}
        forwarder = self.forwarder
        return forwarder.selector.choose(forwarder.hosts(), tried) is not None

    def _on_declined(self, host: PeerHost, response: ForwardedResponse) -> None:
        attempts = self.request.attempts - response.attempts_run
        self.request = replace(self.request, attempts=attempts)
        self._has_run_before = self._has_run_before or response.attempts_run > 0
        may_continue = not self._has_run_before or (self.is_idempotent and attempts > 0)
        if may_continue:
            self._on_unavailable(host, response.unavailable)
            return
        self.forwarder.selector.avoid(host, response.unavailable)
        self._end_try(response.unavailable)
        self._fail(response.unavailable, may_have_run=True)

    def _on_unavailable(self, host: PeerHost, reason: Unavailability) -> None:
        self.forwarder.selector.avoid(host, reason)
        self._end_try(reason)
        self._send_to_next(reason)

    def _on_overdue(self) -> None:
        if self._current is not None:
            self.forwarder.selector.avoid(self._current, Unavailability.LOST)

    def _on_deadline(self) -> None:
        may_have_run = self.may_have_run
        if self._pending is not None:
            self._pending.cancel()
        self._end_try("deadline")
        self._fail(Unavailability.LOST, may_have_run)

    def _fail(self, reason: Unavailability, may_have_run: bool) -> None:
        self._cancel_timers()
        wait = self.forwarder.selector.wait()
        retry_after = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        self.on_result(
            NotForwarded(reason, may_have_run, timedelta(seconds=retry_after))
        )

    def _end_try(self, outcome: str) -> None:
        host, self._current = self._current, None
        if host is not None:
            self.forwarder.selector.end(host)
            self._tries.append(_Try(host, self._sent_at, outcome))

    def _call_at(self, when: float, callback: Callable[[], None]) -> None:
        delay = max(0.0, when - self.forwarder.clock.monotonic())
        self._timers.append(self.forwarder.timers.call_later(delay, callback))

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
