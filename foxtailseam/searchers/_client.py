"""HTTP calls to one searcher, over urllib3. Blocking; for worker threads."""

import socket
import time
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from foxtailseam.outcomes import Hit
from foxtailseam.searchers._attempts import (
    Answered,
    Attempt,
    Broken,
    Mismatched,
    NotSent,
    Shed,
    TimedOut,
    VersionGone,
)

OK = 200
VERSION_GONE = 409
UNAVAILABLE = 503
PROBE_DELAY_SECONDS = 0.02
PROBE_SECONDS = 0.05
CONNECT_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class SubRequest:
    """One request to one searcher.

    Parameters
    ----------
    request_id : str
        Unique for each attempt; the answer must carry it.
    path : str
        ``/search``, or ``/submit`` for a request that may not be repeated.
    index_version : int
        Version to answer from.
    body : bytes
        The query.
    """

    request_id: str
    path: str
    index_version: int
    body: bytes


@dataclass(frozen=True)
class _AnswerBody:
    request_id: str
    index_version: int
    hits: tuple[Hit, ...] = ()
    receipt: str = ""


_ANSWER_DECODER = msgspec.json.Decoder(_AnswerBody)


class SearcherClient:
    """Owns the connections to one searcher; thread-safe.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the searcher.
    connections : int
        Most connections kept.
    """

    def __init__(self, address: str, connections: int):
        self.address = address
        self.connections = connections
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._pool = self._new_pool()

    def send(self, request: SubRequest, timeout: timedelta) -> Attempt:
        """Send a request once and wait for what comes of it.

        Parameters
        ----------
        request : SubRequest
            What to send.
        timeout : timedelta
            Bound on the wait for the answer; the searcher is told of it.

        Returns
        -------
        Attempt
            The outcome; never raises for a fault of the network or searcher.
        """
        seconds = timeout.total_seconds()
        headers = {
            "X-Request-Id": request.request_id,
            "X-Index-Version": str(request.index_version),
            "X-Deadline-Ms": str(int(seconds * 1000)),
        }
        limits = urllib3.Timeout(connect=min(seconds, CONNECT_SECONDS), read=seconds)
        try:
            reply = self._pool.urlopen(
                "POST",
                request.path,
                body=request.body,
                headers=headers,
                retries=False,
                redirect=False,
                timeout=limits,
            )
        except (NewConnectionError, ConnectTimeoutError):
            return NotSent()
        except ReadTimeoutError:
            return TimedOut()
        except HTTPError:
            return Broken(lost=not self._accepts_connections())
        attempt = _read_reply(request, reply)
        if isinstance(attempt, Mismatched):
            self.drop_connections()
        return attempt

    def cancel(self, request_id: str) -> None:
        """Tell the searcher that nobody waits for the answer any more."""
        try:
            self._pool.urlopen(
                "POST",
                f"/cancel/{request_id}",
                retries=False,
                timeout=urllib3.Timeout(total=CONNECT_SECONDS),
            )
        except HTTPError:
            # The request is given up already; there is nobody to tell.
            return

    def is_ready(self) -> bool:
        """Return whether the health endpoint says that new work is welcome."""
        limit = urllib3.Timeout(total=CONNECT_SECONDS)
        try:
            reply = self._pool.urlopen("GET", "/health", retries=False, timeout=limit)
        except HTTPError:
            return False
        return reply.status == OK and reply.headers.get("X-Draining") != "1"

    def drop_connections(self) -> None:
        """Use new connections from now on; those in use close when they return."""
        old = self._pool
        self._pool = self._new_pool()
        old.close()

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _accepts_connections(self) -> bool:
        # A process that crashed may still listen while it is taken down.
        time.sleep(PROBE_DELAY_SECONDS)
        try:
            address = (self._host, self._port)
            with socket.create_connection(address, PROBE_SECONDS):
                return True
        except OSError:
            return False

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self._host, self._port, maxsize=self.connections, block=False
        )


def _read_reply(request: SubRequest, reply: urllib3.BaseHTTPResponse) -> Attempt:
    draining = reply.headers.get("X-Draining") == "1"
    if reply.headers.get("X-Request-Id") != request.request_id:
        return Mismatched()
    if reply.status == VERSION_GONE:
        return VersionGone()
    if reply.status == UNAVAILABLE and reply.headers.get("X-Not-Run") == "1":
        after = reply.headers.get("Retry-After", "1")
        seconds = int(after) if after.isdigit() else 1
        return Shed(timedelta(seconds=seconds), draining)
    if reply.status != OK:
        return Broken(lost=False)
    try:
        body = _ANSWER_DECODER.decode(reply.data)
    except msgspec.MsgspecError:
        return Broken(lost=False)
    if body.request_id != request.request_id:
        return Mismatched()
    return Answered(
        index_version=body.index_version,
        hits=body.hits,
        receipt=body.receipt,
        draining=draining,
        incarnation=reply.headers.get("X-Incarnation", ""),
    )
