"""Tells that the process uses the processor while its event loop does not come round.

The time counted is processor time, so neither a suspension nor a slow machine counts.
"""

import os
import signal
from collections.abc import Callable
from datetime import timedelta
from types import FrameType

from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.utils import describe_stack

# Processor time after which the running functions are logged, again and again.
REPORT_INTERVAL = timedelta(seconds=2)
# Processor time after which the process ends.
MAX_TIME = timedelta(seconds=10)


class ProcessorWatch:
    """Watches the processor time that is used without a call of `reset`.

    Parameters
    ----------
    exit_code : int
        Exit code of a process that is ended.
    log : LogWriter
        Log that receives the events.
    report_interval, max_time : timedelta
        Processor time after which the running functions are logged, again and again,
        and after which the process ends.
    end_process : callable
        Called with the exit code.
    """

    def __init__(
        self,
        exit_code: int,
        log: LogWriter,
        report_interval: timedelta = REPORT_INTERVAL,
        max_time: timedelta = MAX_TIME,
        end_process: Callable[[int], None] = os._exit,
    ):
        self.exit_code = exit_code
        self.report_interval = report_interval
        self.max_time = max_time
        self.log = log
        self.end_process = end_process
        self._is_running = False
        self._reports = 0

    def start(self) -> None:
        """Begin to watch, if the platform has such a timer."""
        try:
            signal.signal(signal.SIGPROF, self._on_signal)
            self._is_running = True
            self.reset()
        except (AttributeError, OSError, ValueError) as error:
            self._is_running = False
            self.log.write(
                EventCode.PROCESSOR_WATCH_UNAVAILABLE, error=type(error).__name__
            )

    def reset(self) -> None:
        """Handle that the event loop has come round."""
        if self._is_running:
            self._reports = 0
            interval = self.report_interval.total_seconds()
            signal.setitimer(signal.ITIMER_PROF, interval, interval)

    def stop(self) -> None:
        """Stop watching."""
        if self._is_running:
            self._is_running = False
            signal.setitimer(signal.ITIMER_PROF, 0)

    def _on_signal(self, _number: int, frame: FrameType | None) -> None:
        if not self._is_running:
            return
        self._reports += 1
        used = self._reports * self.report_interval
        must_end = used >= self.max_time
        self.log.write(
            EventCode.LOOP_STUCK,
            processor_ms=round(used.total_seconds() * 1000),
            ends=must_end,
            frames=describe_stack(frame),
        )
        self.log.flush()
        if must_end:
            self.end_process(self.exit_code)
