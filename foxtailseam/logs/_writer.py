"""Log lines on a file descriptor: bounded in number, and never waited for."""

import os
import select
from collections import Counter, deque
from dataclasses import dataclass

import msgspec

from foxtailseam.clocks import Clock
from foxtailseam.logs._catalogue import EventCode, Severity

# A pipe takes at least this much at once when it is writable (POSIX, PIPE_BUF).
CHUNK_BYTES = 4096
# Lines of one event that are written in a second; further ones are counted.
LINES_PER_SECOND = 60
# Lines that wait for a reader; the oldest go first.
MOST_WAITING = 2_000
SUPPRESSION_REPORT_SECONDS = 5.0


@dataclass(slots=True)
class _Rate:
    second: int = 0
    lines: int = 0


class LogWriter:
    """Writes each event as a JSON object on a line of its own.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    host : str
        Name of the host, in every line.
    clock : Clock
        Source of time.
    least : Severity
        Events below it are left out.
    """

    def __init__(
        self,
        descriptor: int,
        host: str,
        clock: Clock,
        least: Severity = Severity.INFO,
    ):
        self.descriptor = descriptor
        self.host = host
        self.clock = clock
        self.least = least
        self._waiting: deque[bytes] = deque(maxlen=MOST_WAITING)
        self._rest = b""
        self._rates: dict[EventCode, _Rate] = {}
        self._suppressed: Counter[str] = Counter()
        self._reported_at = clock.monotonic()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, code: EventCode, request_id: str = "", **fields: object) -> None:
        """Add a line; it goes out with the next `flush`."""
        if code.severity < self.least:
            return
        if not self._within_rate(code):
            self._suppressed[_name(code)] += 1
            return
        if len(self._waiting) == MOST_WAITING:
            self._suppressed["oldest-lines"] += 1
        self._waiting.append(self._line(code, request_id, fields))

    def flush(self) -> None:
        """Write what fits without waiting."""
        self._report_suppressed()
        while self._rest or self._waiting:
            if not self._rest:
                self._rest = self._waiting.popleft()
            if not self._poll.poll(0):
                return
            try:
                written = os.write(self.descriptor, self._rest[:CHUNK_BYTES])
            except OSError:
                # Nobody reads the log any more; there is nowhere to report it.
                self._rest = b""
                self._waiting.clear()
                return
            self._rest = self._rest[written:]
            self._fill()

    def _fill(self) -> None:
        while self._waiting and len(self._rest) < CHUNK_BYTES:
            self._rest += self._waiting.popleft()

    def _line(self, code: EventCode, request_id: str, fields: dict) -> bytes:
        line = {
            "time": self.clock.now().isoformat(timespec="milliseconds"),
            "level": code.severity.name.lower(),
            "event": code.number,
            "name": _name(code),
            "host": self.host,
        }
        if request_id:
            line["request"] = request_id
        line.update(fields)
        return msgspec.json.encode(line) + b"\n"

    def _within_rate(self, code: EventCode) -> bool:
        second = int(self.clock.monotonic())
        rate = self._rates.setdefault(code, _Rate())
        if rate.second != second:
            rate.second = second
            rate.lines = 0
        rate.lines += 1
        return rate.lines <= LINES_PER_SECOND

    def _report_suppressed(self) -> None:
        now = self.clock.monotonic()
        if not self._suppressed or now - self._reported_at < SUPPRESSION_REPORT_SECONDS:
            return
        self._reported_at = now
        counts, self._suppressed = self._suppressed, Counter()
        self._waiting.append(
            self._line(EventCode.LINES_SUPPRESSED, "", {"lines": dict(counts)})
        )


def _name(code: EventCode) -> str:
    return code.name.lower().replace("_", "-")
