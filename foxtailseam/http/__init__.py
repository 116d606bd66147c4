"""HTTP/1.1 on one event loop: callers' connections and those to searchers.

The wire format is read by ``httptools``. What stands here is what a parser
cannot do: limits, time-outs, callers that leave, answers that belong to no
request, and connections that may not be used again.
"""

from foxtailseam.http._call import Call
from foxtailseam.http._caller import ListenerLimits
from foxtailseam.http._exchange import (
    ExchangeFailure,
    ExchangeResult,
    FailureKind,
    Received,
)
from foxtailseam.http._listener import Listener
from foxtailseam.http._messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
    render_request_head,
    render_response,
    strip_hop_by_hop,
)
from foxtailseam.http._pool import ConnectionPool, PoolSettings
from foxtailseam.http._upstream import UpstreamConnection

__all__ = [
    "Call",
    "ConnectionPool",
    "ExchangeFailure",
    "ExchangeResult",
    "FailureKind",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "Listener",
    "ListenerLimits",
    "PoolSettings",
    "Received",
    "UpstreamConnection",
    "find_header",
    "render_request_head",
    "render_response",
    "strip_hop_by_hop",
]
