"""What the result of one attempt says of the searcher and of this host's links."""

from foxtailseam.dispatch._health import AttemptFailure
from foxtailseam.http import ExchangeFailure, ExchangeResult, FailureKind
from foxtailseam.reachability import ContactTracker

ATTEMPT_FAILURES = {
    FailureKind.REFUSED: AttemptFailure.UNREACHABLE,
    FailureKind.CONNECT_TIMEOUT: AttemptFailure.UNREACHABLE,
    FailureKind.TIMEOUT: AttemptFailure.NO_RESPONSE,
    FailureKind.RESET: AttemptFailure.LOST,
    FailureKind.CLOSED: AttemptFailure.LOST,
    FailureKind.MALFORMED: AttemptFailure.ERROR,
    FailureKind.TOO_LARGE: AttemptFailure.ERROR,
    FailureKind.CANCELLED: AttemptFailure.LOST,
}
# Failures after which the searcher may have crashed.
POSSIBLE_CRASHES = frozenset({FailureKind.RESET, FailureKind.CLOSED})
_CONNECT_FAILURES = frozenset({FailureKind.REFUSED, FailureKind.CONNECT_TIMEOUT})
# Failures after which nothing shows that the searcher has sent anything.
_SILENT_FAILURES = frozenset({FailureKind.RESET, FailureKind.TIMEOUT})


def record_contact(
    contacts: ContactTracker, searcher: str, result: ExchangeResult
) -> None:
    """Record whether the result of an attempt shows a sign of life.

    Parameters
    ----------
    contacts : ContactTracker
        Contacts of this host with searchers.
    searcher : str
        Identifier of the searcher.
    result : ExchangeResult
        Result of the attempt.
    """
    match result:
        case ExchangeFailure(kind=kind) if kind in _CONNECT_FAILURES:
            contacts.record_connect_failure(searcher)
        case ExchangeFailure(kind=kind) if kind in _SILENT_FAILURES:
            contacts.record_silence(searcher)
        case ExchangeFailure(kind=FailureKind.CANCELLED):
            pass
        case _:
            contacts.record_response()
