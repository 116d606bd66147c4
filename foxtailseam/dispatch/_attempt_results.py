"""What the result of one attempt says of the searcher and of this host's links."""

from foxtailseam.dispatch._health import AttemptFailure
from foxtailseam.http import FailureKind
from foxtailseam.reachability import ContactTracker

ATTEMPT_FAILURES = {
    FailureKind.REFUSED: AttemptFailure.UNREACHABLE,
    FailureKind.CONNECT_TIMEOUT: AttemptFailure.UNREACHABLE,
    FailureKind.TIMEOUT: AttemptFailure.NO_RESPONSE,
    FailureKind.RESET: AttemptFailure.LOST,
    FailureKind.CLOSED: AttemptFailure.LOST,
    FailureKind.MALFORMED: AttemptFailure.ERROR,
    FailureKind.TOO_LARGE: AttemptFailure.ERROR,
    FailureKind.BUFFER_FULL: AttemptFailure.ERROR,
    FailureKind.CANCELLED: AttemptFailure.LOST,
}
# Failures after which the searcher may have crashed.
POSSIBLE_CRASHES = frozenset({FailureKind.RESET, FailureKind.CLOSED})
_CONNECT_FAILURES = frozenset({FailureKind.REFUSED, FailureKind.CONNECT_TIMEOUT})
# Failures after which nothing shows that the searcher has sent anything.
_SILENT_FAILURES = frozenset({FailureKind.RESET, FailureKind.TIMEOUT})


def record_failed_contact(
    contacts: ContactTracker, searcher: str, kind: FailureKind, now: float
) -> None:
    """Record whether a failed attempt was a sign of life or the lack of one.

    Parameters
    ----------
    contacts : ContactTracker
        Contacts of this host with searchers.
    searcher : str
        Identifier of the searcher.
    kind : FailureKind
        How the attempt failed.
    now : float
        Current monotonic time in seconds.
    """
    if kind in _CONNECT_FAILURES:
        contacts.record_connect_failure(searcher)
    elif kind in _SILENT_FAILURES:
        contacts.record_silence(searcher)
    elif kind is not FailureKind.CANCELLED:
        contacts.record_response(now)
