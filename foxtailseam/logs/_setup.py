"""Structured log output: one JSON object a line."""

import sys

import msgspec
from logbook import Handler, LogRecord, StreamHandler


class JsonHandler(StreamHandler):
    """Writes each record as a JSON object with its fields."""

    def format(self, record: LogRecord) -> str:
        """Return the record as one line."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "message": record.message,
            **record.extra,
        }
        return msgspec.json.encode(line).decode()


def setup_logging(level: str) -> Handler:
    """Send records of `level` and above to standard error; return the handler."""
    handler = JsonHandler(sys.stderr, level=level.upper())
    handler.push_application()
    return handler
