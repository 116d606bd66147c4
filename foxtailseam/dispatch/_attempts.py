"""Plan of a call to one service, and the record of its attempts."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from foxtailseam.dispatch._searcher import PendingExchange, Searcher
from foxtailseam.dispatch._wire_format import RequestTemplate
from foxtailseam.http import HttpRequest
from foxtailseam.routing import Route


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Request to a service, with its route and deadline.

    Parameters
    ----------
    service : str
        Name of the service.
    route : Route
        Route of the request; sets its priority and the number of attempts.
    request : HttpRequest
        Request of the caller.
    template : RequestTemplate
        Renders the bytes that are sent to a searcher.
    identifier : bytes
        Identifier of the request, which searchers return with the answer.
    deadline_at : float
        Time after which an answer is useless, in seconds of the dispatcher's
        clock.
    """

    service: str
    route: Route
    request: HttpRequest
    template: RequestTemplate
    identifier: bytes
    deadline_at: float

    def for_services(self, services: Iterable[str]) -> tuple["CallPlan", ...]:
        """Return this plan for each of several services."""
        return tuple(
            CallPlan(
                service,
                self.route,
                self.request,
                self.template,
                self.identifier,
                self.deadline_at,
            )
            for service in services
        )


@dataclass(slots=True)
class Attempt:
    """One transmission of a request to one searcher.

    Parameters
    ----------
    searcher : Searcher
        Searcher that receives the request.
    number : int
        Number of the request among those sent to the searcher.
    sent_at : float
        Time of sending, in seconds of the dispatcher's clock.
    exchange : PendingExchange or None
        Exchange in progress; None until it is started.
    opens_connection : bool
        Whether no idle connection was available, so that one had to be opened.
    written_at : float or None
        Time of writing the request to its connection; None if it was not written.
    ended_at : float or None
        Time of its result; None while the attempt is in progress.
    outcome : str
        Response status, kind of failure, ``abandoned`` or ``withdrawn``; empty while in
        progress.
    """

    searcher: Searcher
    number: int
    sent_at: float
    exchange: PendingExchange | None = None
    opens_connection: bool = False
    written_at: float | None = None
    ended_at: float | None = None
    outcome: str = ""


@dataclass(slots=True)
class CallRecord:
    """Attempts of a call, for the log line of its request.

    Parameters
    ----------
    started_at : float
        Time at which the call was created, in seconds of the dispatcher's clock.
    attempts : list of Attempt
        Attempts in the order of sending.
    """

    started_at: float
    attempts: list[Attempt] = field(default_factory=list)

    def describe(self) -> str:
        """Return the attempts as comma-separated ``searcher@MILLISECONDS:outcome``.

        The milliseconds count from the start of the call; the outcome of an attempt
        in progress is ``pending``.
        """
        return ",".join(
            f"{item.searcher.entry.identifier}"
            f"@{round((item.sent_at - self.started_at) * 1000)}"
            f":{item.outcome or 'pending'}"
            for item in self.attempts
        )
