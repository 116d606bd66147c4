"""Size limits and timeouts of a listener."""

from dataclasses import dataclass
from datetime import timedelta

HEADER_TOO_LARGE_STATUS = 431


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Size limits and timeouts of the connections of callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the header and of the body of a request, in bytes.
    header_timeout : timedelta
        Maximum time from the first byte of a header to its end.
    body_timeout : timedelta
        Maximum time from the end of the header to the end of the body.
    idle_timeout : timedelta
        Maximum time between two requests of a connection.
    connections : int
        Number of open connections above which a new one closes the connection
        that has been idle longest.
    buffered_bytes : int
        Maximum total size of the buffered bodies of all requests, in bytes; a
        request whose body exceeds it is rejected with status 503.
    buffered_header_bytes : int
        Maximum memory of the headers of all requests, in bytes; a request whose
        header exceeds it is rejected with status 503.
    unsent_bytes : int
        Maximum total size of the responses that callers have not read yet, in bytes;
        a response that exceeds it is replaced by a 502.
    queued_requests : int
        Number of requests of all connections that wait for earlier ones on the same
        connection, above which only connections without any are read from.
    response_timeout : timedelta
        Maximum time from a response to its last byte being sent.
    long_header_status : int
        Status code of the response to a header that is too large.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: timedelta = timedelta(seconds=3)
    body_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=15)
    connections: int = 1_000
    buffered_bytes: int = 64 * 1024 * 1024
    buffered_header_bytes: int = 32 * 1024 * 1024
    unsent_bytes: int = 32 * 1024 * 1024
    queued_requests: int = 1_000
    response_timeout: timedelta = timedelta(seconds=30)
    long_header_status: int = HEADER_TOO_LARGE_STATUS
