"""Decides which requests are forwarded to other hosts, and accepts theirs."""

from collections.abc import Callable

from foxtailseam.delegation import (
    MAX_BACKLOG_SECONDS,
    DeclinedCall,
    DelegatedCall,
)
from foxtailseam.dispatch import Dispatcher, GatherQuery, SingleQuery
from foxtailseam.forwarding import (
    Forward,
    ForwardedRequest,
    ForwardedResponse,
    Forwarder,
    ForwardResult,
    Unavailability,
)
from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.front._peer_requests import to_call, to_message
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.http import Call

# Largest number of requests of other hosts that are served at a time.
MAX_ACCEPTED = 256
# Their bodies take at most this many bytes together until the memory limit is known.
DEFAULT_BODY_BYTES = 16_000_000


def _ignore_attempts(_call: Call, _attempts: int) -> None:
    pass


class _AcceptedCall:
    """A request of another host that is being served; a `DelegatedCall`."""

    def __init__(
        self,
        call: Call,
        release: Callable[[], None],
        allow: Callable[[Call, int], None],
    ):
        self._call = call
        self._release = release
        self._allow = allow

    def allow_attempts(self, attempts: int) -> None:
        self._allow(self._call, attempts)

    def cancel(self) -> None:
        self._release()
        self._call.notify_disconnect()


class PeerForwarding:
    """Both sides of forwarding on one host.

    Parameters
    ----------
    dispatcher : Dispatcher
        Knows what this host reaches of the searchers.
    configuration_manager : ConfigurationManager
        Source of the version in force.

    Attributes
    ----------
    forwarder : Forwarder or None
        Forwards requests; None on a host that knows no others.
    address, failure_domain : str
        Address and failure domain of this host, as other hosts know it.
    is_stopping : bool
        Whether the host accepts no more requests of other hosts.
    max_body_bytes : int
        Largest total size of the bodies of other hosts' requests, in bytes.
    shard_call_rate : int
        Calls to shards that this host can send in a second; 0 if unknown.
    count_calls : callable
        Returns the number of shards of the other hosts' queries that are being served.
    """

    def __init__(
        self, dispatcher: Dispatcher, configuration_manager: ConfigurationManager
    ):
        self.dispatcher = dispatcher
        self.configuration_manager = configuration_manager
        self.forwarder: Forwarder | None = None
        self.address = ""
        self.failure_domain = ""
        self.is_stopping = False
        self.max_body_bytes = DEFAULT_BODY_BYTES
        self.shard_call_rate = 0
        self.count_calls: Callable[[], int] = lambda: 0
        # Size of the body of each request of another host that is being served.
        self._accepted: dict[int, int] = {}
        self._last_number = 0

    def must_forward(self, routed: RoutedRequest) -> bool:
        """Return whether a new request needs a host with better links."""
        may_forward = routed.call.forward is None and self.forwarder is not None
        return may_forward and not self.dispatcher.can_reach(routed.services)

    def may_hand_over(
        self, routed: RoutedRequest, query: GatherQuery | SingleQuery
    ) -> bool:
        """Return whether a request that was sent to searchers may go to another host.

        One that may have run has to be idempotent.
        """
        has_attempts = routed.route.max_attempts > query.attempts_run
        may_repeat = routed.route.idempotent or not query.may_have_run
        return self.forwarder is not None and has_attempts and may_repeat

    def create(
        self,
        routed: RoutedRequest,
        attempts: int,
        on_result: Callable[[ForwardResult], None],
    ) -> Forward:
        """Return the forwarded request, which is not started yet.

        Parameters
        ----------
        routed : RoutedRequest
            The request.
        attempts : int
            Largest number of searchers of each service that may still be asked.
        on_result : callable
            Called once with the result.
        """
        now = self.dispatcher.clock.monotonic()
        goal = routed.route.latency_goal.total_seconds()
        return Forward(
            self.forwarder,
            to_message(routed, self.address, self.failure_domain, attempts, now),
            max(routed.times.goal_limit_at, now + goal),
            routed.times.deadline_at,
            on_result,
            routed.route.idempotent,
            lambda: self.take_extra(routed.services),
        )

    def take_extra(self, services: tuple[str, ...]) -> bool:
        """Charge one more request to the budget of each service, if all allow it."""
        dispatcher = self.dispatcher
        budgets = [dispatcher.budget(service) for service in services]
        if not all(budget.allows_extra(dispatcher.hosts) for budget in budgets):
            return False
        for budget in budgets:
            budget.count_extra()
        return True

    def accept(
        self,
        message: ForwardedRequest,
        done: Callable[[ForwardedResponse], None],
        serve: Callable[[Call], None],
    ) -> Callable[[], None]:
        """Serve another host's request, or decline it at once.

        Parameters
        ----------
        message : ForwardedRequest
            The request.
        done : callable
            Called once with the response, unless the request is cancelled first.
        serve : callable
            Called with the call to serve.

        Returns
        -------
        callable
            Cancels the request.
        """
        unavailable = self._unavailability(message)
        if unavailable is not None:
            done(self._declined(unavailable))
            return lambda: None
        return self._serve(message, done, serve).cancel

    def accept_delegated(
        self,
        message: ForwardedRequest,
        done: Callable[[ForwardedResponse], None],
        serve: Callable[[Call], None],
        allow_attempts: Callable[[Call, int], None],
    ) -> DelegatedCall:
        """Serve a query that another host has delegated, or decline it at once.

        Parameters
        ----------
        message : ForwardedRequest
            The query.
        done : callable
            Called once with the response, unless the query is cancelled first.
        serve : callable
            Called with the call to serve.
        allow_attempts : callable
            Called with that call and the attempts that it may use from now on.
        """
        unavailable = self._unavailability(message)
        if unavailable is None and self._has_backlog():
            unavailable = Unavailability.BUSY
        if unavailable is not None:
            done(self._declined(unavailable))
            return DeclinedCall()
        return self._serve(message, done, serve, allow_attempts)

    def _serve(
        self,
        message: ForwardedRequest,
        done: Callable[[ForwardedResponse], None],
        serve: Callable[[Call], None],
        allow_attempts: Callable[[Call, int], None] = _ignore_attempts,
    ) -> "_AcceptedCall":
        self._last_number += 1
        number = self._last_number
        self._accepted[number] = len(message.body)

        def release() -> None:
            self._accepted.pop(number, None)

        def finish(response: ForwardedResponse) -> None:
            release()
            done(response)

        def decline(attempts_run: int) -> None:
            finish(self._declined(Unavailability.ISOLATED, attempts_run))

        call = to_call(message, self.dispatcher.clock, finish, decline)
        serve(call)
        return _AcceptedCall(call, release, allow_attempts)

    def _has_backlog(self) -> bool:
        """Return whether this host has no capacity left for the queries of others."""
        seconds = self.count_calls() / max(1, self.shard_call_rate)
        return seconds > MAX_BACKLOG_SECONDS

    def _unavailability(self, message: ForwardedRequest) -> Unavailability | None:
        if self.is_stopping:
            return Unavailability.STOPPING
        if not self.dispatcher.links.is_connected:
            return Unavailability.ISOLATED
        manager = self.configuration_manager
        if manager.configuration is None or manager.version < message.version:
            return Unavailability.OUTDATED
        return None if self._has_room(message) else Unavailability.BUSY

    def _has_room(self, message: ForwardedRequest) -> bool:
        body_bytes = sum(self._accepted.values()) + len(message.body)
        is_small = not message.body or body_bytes <= self.max_body_bytes
        return len(self._accepted) < MAX_ACCEPTED and is_small

    def _declined(
        self, reason: Unavailability, attempts_run: int = 0
    ) -> ForwardedResponse:
        helpers = self.forwarder.selector.helpers if self.forwarder else ()
        return ForwardedResponse(
            unavailable=reason, attempts_run=attempts_run, helpers=helpers
        )
