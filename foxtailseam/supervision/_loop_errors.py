"""Turns errors in callbacks of the event loop into numbered events."""

import asyncio
import logging

from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.supervision._failures import FailureLog
from foxtailseam.utils import MAX_TEXT_LENGTH, describe_error


class LoopErrors:
    """Receives the errors that nobody awaits and what libraries log.

    Parameters
    ----------
    failures : FailureLog
        Receives the errors.
    """

    def __init__(self, failures: FailureLog):
        self.failures = failures
        self._handler = _EventHandler(failures.log)

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Receive the errors of an event loop, and all libraries' warnings."""
        loop.set_exception_handler(lambda _, context: self.handle(context))
        logging.getLogger().addHandler(self._handler)

    def remove(self) -> None:
        """Receive no more of what libraries log."""
        logging.getLogger().removeHandler(self._handler)

    def handle(self, context: dict) -> None:
        """Record the failure of a callback.

        Parameters
        ----------
        context : dict
            What asyncio tells: `message` and usually `exception`.
        """
        message = str(context.get("message", ""))[:MAX_TEXT_LENGTH]
        error = context.get("exception") or RuntimeError("asyncio names no error")
        self.failures.record(
            EventCode.CALLBACK_FAILED, "event loop", error, message=message
        )


class _EventHandler(logging.Handler):
    """Writes what libraries log, from warnings on, as numbered events."""

    def __init__(self, log: LogWriter):
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write an event with the message and the error of a record."""
        error = record.exc_info[1] if record.exc_info else None
        fields = describe_error(error) if error is not None else {}
        self.log.write(
            EventCode.LIBRARY_WARNING,
            logger=record.name,
            message=record.getMessage()[:MAX_TEXT_LENGTH],
            **fields,
        )
