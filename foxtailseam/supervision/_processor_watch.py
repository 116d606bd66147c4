"""Tells that the process uses the processor while its event loop does not come round.

The time counted is processor time, so neither a suspension nor a slow machine counts.
"""

import os
import signal
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from types import FrameType

from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.utils import describe_stack


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """Limits of the processor time between two rounds of the event loop.

    Parameters
    ----------
    report_interval : timedelta
        Processor time after which the running functions are logged, again and again.
    max_time : timedelta
        Processor time after which the process ends.
    exit_code : int
        Its exit code then.
    """

    exit_code: int
    report_interval: timedelta = timedelta(seconds=2)
    max_time: timedelta = timedelta(seconds=10)


class ProcessorWatch:
    """Watches the processor time that is used without a call of `reset`.

    Parameters
    ----------
    settings : WatchSettings
        Limits, and the exit code.
    log : LogWriter
        Log that receives the events.
    end_process : callable
        Called with the exit code.
    """

    def __init__(
        self,
        settings: WatchSettings,
        log: LogWriter,
        end_process: Callable[[int], None] = os._exit,
    ):
        self.settings = settings
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
            interval = self.settings.report_interval.total_seconds()
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
        used = self._reports * self.settings.report_interval
        must_end = used >= self.settings.max_time
        self.log.write(
            EventCode.LOOP_STUCK,
            processor_ms=round(used.total_seconds() * 1000),
            ends=must_end,
            frames=describe_stack(frame),
        )
        self.log.flush()
        if must_end:
            self.end_process(self.settings.exit_code)
