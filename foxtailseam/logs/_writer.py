"""Rate-limited, non-blocking writer of structured log events."""

import os
import select
from collections import Counter, deque
from dataclasses import dataclass

import msgspec

from foxtailseam.clocks import Clock
from foxtailseam.logs._catalogue import EventCode, Severity
from foxtailseam.utils import shorten

# A writable pipe accepts at least this many bytes without blocking (POSIX,
# PIPE_BUF).
CHUNK_BYTES = 4096
# Maximum number of lines per event and second; further ones are only counted.
MAX_LINES_PER_SECOND = 60
# Maximum number of lines that wait to be written; the oldest are dropped first.
MAX_QUEUED_LINES = 2_000
# Size of a line above which its texts are cut short: others choose some of them, such
# as the names of services.
LONG_LINE_BYTES = 16_384
MAX_TEXT_CHARACTERS = 500
# Minimum interval between two lines that report the number of dropped lines.
SUPPRESSION_REPORT_SECONDS = 5.0


@dataclass(slots=True)
class _RateWindow:
    second: int = 0
    lines: int = 0


class LogWriter:
    """Non-blocking writer of events as JSON objects, one per line.

    Lines are queued by `write` and written by `flush`. Lines beyond the rate limit
    or the size of the queue are dropped, counted and reported.

    Parameters
    ----------
    file_descriptor : int
        File descriptor to write to, such as a pipe.
    host : str
        Name of the host, included in every line.
    clock : Clock
        Clock that provides wall time and monotonic time.
    min_severity : Severity
        Lowest severity that is written.
    """

    def __init__(
        self,
        file_descriptor: int,
        host: str,
        clock: Clock,
        min_severity: Severity = Severity.INFO,
    ):
        self.file_descriptor = file_descriptor
        self.host = host
        self.clock = clock
        self.min_severity = min_severity
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED_LINES)
        self._partial_chunk = b""
        self._rate_windows: dict[EventCode, _RateWindow] = {}
        self._suppressed: Counter[str] = Counter()
        self._reported_at = clock.monotonic()
        self._poll = select.poll()
        self._poll.register(file_descriptor, select.POLLOUT)

    def write(self, code: EventCode, request_id: str = "", **fields: object) -> None:
        """Queue a line, unless its event is below the severity or over the rate.

        Parameters
        ----------
        code : EventCode
            Event to log.
        request_id : str
            Identifier of the request that the event belongs to, or empty.
        **fields : object
            Further fields of the line; their values must be JSON serializable.
        """
        if code.severity < self.min_severity:
            return
        if not self._is_within_rate(code):
            self._suppressed[_event_name(code)] += 1
            return
        if len(self._queue) == MAX_QUEUED_LINES:
            self._suppressed["oldest-lines"] += 1
        self._queue.append(self._line(code, request_id, fields))

    def flush(self) -> None:
        """Write as many queued lines as possible without blocking."""
        self._report_suppressed()
        while self._partial_chunk or self._queue:
            if not self._partial_chunk:
                self._partial_chunk = self._queue.popleft()
            if not self._poll.poll(0):
                return
            try:
                written = os.write(
                    self.file_descriptor, self._partial_chunk[:CHUNK_BYTES]
                )
            except OSError:
                # The log cannot be written, so the error cannot be reported either.
                self._partial_chunk = b""
                self._queue.clear()
                return
            self._partial_chunk = self._partial_chunk[written:]
            self._fill_chunk()

    def _fill_chunk(self) -> None:
        while self._queue and len(self._partial_chunk) < CHUNK_BYTES:
            self._partial_chunk += self._queue.popleft()

    def _line(self, code: EventCode, request_id: str, fields: dict) -> bytes:
        line = {
            "time": self.clock.now().isoformat(timespec="milliseconds"),
            "level": code.severity.name.lower(),
            "event": code.number,
            "name": _event_name(code),
            "host": self.host,
        }
        if request_id:
            line["request"] = request_id
        line.update(fields)
        encoded = msgspec.json.encode(line)
        if len(encoded) > LONG_LINE_BYTES:
            encoded = msgspec.json.encode(
                {
                    name: shorten(value, MAX_TEXT_CHARACTERS)
                    if isinstance(value, str)
                    else value
                    for name, value in line.items()
                }
            )
        return encoded + b"\n"

    def _is_within_rate(self, code: EventCode) -> bool:
        second = int(self.clock.monotonic())
        window = self._rate_windows.setdefault(code, _RateWindow())
        if window.second != second:
            window.second = second
            window.lines = 0
        window.lines += 1
        return window.lines <= MAX_LINES_PER_SECOND

    def _report_suppressed(self) -> None:
        now = self.clock.monotonic()
        if not self._suppressed or now - self._reported_at < SUPPRESSION_REPORT_SECONDS:
            return
        self._reported_at = now
        counts, self._suppressed = self._suppressed, Counter()
        self._queue.append(
            self._line(EventCode.LINES_SUPPRESSED, "", {"lines": dict(counts)})
        )


def _event_name(code: EventCode) -> str:
    return code.name.lower().replace("_", "-")
