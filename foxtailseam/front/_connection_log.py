"""Log events and metrics of connections that meet a limit of their listener."""

from collections.abc import Mapping

from foxtailseam.clocks import Clock
from foxtailseam.http import Listener
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics

# Name of the counter of the connections of other hosts that were closed.
PEER_COUNTER = "peer_connections_closed"
# Shortest time between two events of the same code, in seconds: those who connect
# decide how often the limit is met.
EVENT_INTERVAL_SECONDS = 1.0


class ConnectionLog:
    """Writes how many connections were closed, and that requests stay unread.

    Parameters
    ----------
    listeners : mapping of str to Listener
        Listeners by the name of their purpose.
    log : LogWriter
        Log that receives the events.
    metrics : Metrics
        Registry of the counters; has that of the other hosts' connections.
    clock : Clock
        Clock that provides monotonic time in seconds.
    """

    def __init__(
        self,
        listeners: Mapping[str, Listener],
        log: LogWriter,
        metrics: Metrics,
        clock: Clock,
    ):
        self.listeners = listeners
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self._reported = dict.fromkeys(listeners, 0)
        self._reported_peers = 0
        self._next_at = float("-inf")

    def check(self) -> None:
        """Write what has happened since the last events, if it is time for others."""
        now = self.clock.monotonic()
        if now < self._next_at:
            return
        written = [self._check(name) for name in self.listeners]
        written.append(self._check_peers())
        if any(written):
            self._next_at = now + EVENT_INTERVAL_SECONDS

    def _check(self, name: str) -> bool:
        listener = self.listeners[name]
        closed = listener.closed_at_limit - self._reported[name]
        self._reported[name] = listener.closed_at_limit
        if closed:
            self.metrics.add(f"{name}_connections_closed", closed)
            self.log.write(
                EventCode.CONNECTIONS_CLOSED,
                listener=name,
                closed=closed,
                limit=listener.limits.connections,
            )
        queued = listener.queued_requests
        if not queued.available:
            self.log.write(
                EventCode.REQUESTS_HELD, listener=name, queued=queued.reserved
            )
        return bool(closed) or not queued.available

    def _check_peers(self) -> bool:
        count = self.metrics.count(PEER_COUNTER)
        closed, self._reported_peers = count - self._reported_peers, count
        if closed:
            self.log.write(EventCode.PEER_CONNECTIONS_CLOSED, closed=closed)
        return closed > 0
