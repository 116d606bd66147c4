"""HTTP/1.1 server for callers and client for upstream servers, on one event loop.

``httptools`` parses the wire format. This package adds limits, timeouts, the
detection of disconnected callers, the matching of responses to requests, and the
decision whether a connection may be reused.
"""

from foxtailseam.http._buffer_space import BufferSpace
from foxtailseam.http._call import Call, ForwardContext
from foxtailseam.http._listener import Listener
from foxtailseam.http._listener_limits import ListenerLimits
from foxtailseam.http._messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
    render_request_head,
    render_response,
    strip_hop_by_hop,
)
from foxtailseam.http._pool import ConnectionPool
from foxtailseam.http._pool_settings import PoolSettings
from foxtailseam.http._received_data import BoundedReader, ReceivedData
from foxtailseam.http._results import (
    ExchangeFailure,
    ExchangeResult,
    FailureKind,
    Received,
)
from foxtailseam.http._upstream_connection import UpstreamConnection
from foxtailseam.http._work_schedule import WorkSchedule

__all__ = [
    "BoundedReader",
    "BufferSpace",
    "Call",
    "ConnectionPool",
    "ExchangeFailure",
    "ExchangeResult",
    "FailureKind",
    "ForwardContext",
    "Headers",
    "HttpRequest",
    "HttpResponse",
    "Listener",
    "ListenerLimits",
    "PoolSettings",
    "Received",
    "ReceivedData",
    "UpstreamConnection",
    "WorkSchedule",
    "find_header",
    "render_request_head",
    "render_response",
    "strip_hop_by_hop",
]
