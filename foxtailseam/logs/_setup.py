"""Setup of structured log output through logbook, one JSON object per line."""

import sys

import msgspec
from logbook import Handler, LogRecord, StreamHandler


class JsonHandler(StreamHandler):
    """Log handler that writes each record as a JSON object.

    Fields: time, level, message, and the extra fields of the record.
    """

    def format(self, record: LogRecord) -> str:
        """Return the record as a JSON object without a line break."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "message": record.message,
            **record.extra,
        }
        return msgspec.json.encode(line).decode()


def setup_logging(level: str) -> Handler:
    """Send log records to standard error.

    Parameters
    ----------
    level : str
        Lowest level that is written, in any case, for example ``info``.

    Returns
    -------
    logbook.Handler
        Handler of the records, pushed for the whole application.
    """
    handler = JsonHandler(sys.stderr, level=level.upper())
    handler.push_application()
    return handler
