"""Tests of the watch over callbacks that do not hand back the processor."""

import json
import signal
import subprocess
import sys

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.logs import LogWriter
from foxtailseam.supervision import ProcessorWatch, WatchSettings

# Runs a callback for some seconds, first without and then with its watch's limits.
LOOPING_PROCESS = """
import asyncio, sys, time
from datetime import timedelta
from foxtailseam.clocks import SystemClock
from foxtailseam.logs import LogWriter
from foxtailseam.supervision import ProcessorWatch, WatchSettings

def loop_without_end():
    while True:
        pass

def sleep_long():
    time.sleep(1.0)

async def main():
    log = LogWriter(sys.stdout.fileno(), "host", SystemClock())
    settings = WatchSettings(
        13, timedelta(milliseconds=100), timedelta(milliseconds=400)
    )
    watch = ProcessorWatch(settings, log)
    watch.start()
    asyncio.get_running_loop().call_soon(globals()[sys.argv[1]])
    await asyncio.sleep(0.5)
    watch.stop()

asyncio.run(main())
"""


def run_process(callback):
    return subprocess.run(
        [sys.executable, "-c", LOOPING_PROCESS, callback],
        capture_output=True,
        check=False,
        timeout=30,
    )


class TestProcessorWatch:
    def test_a_process_that_loops_tells_where_and_ends_with_its_own_code(self):
        done = run_process("loop_without_end")
        assert done.returncode == 13
        events = [json.loads(line) for line in done.stdout.splitlines()]
        assert [event["event"] for event in events] == [121] * 4
        assert [event["ends"] for event in events] == [False, False, False, True]
        assert all("loop_without_end" in event["frames"] for event in events)

    def test_a_process_that_waits_is_left_alone(self):
        done = run_process("sleep_long")
        assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")

    @pytest.mark.parametrize("error", [OSError, ValueError, AttributeError])
    def test_a_host_without_such_a_timer_runs_without_the_watch(
        self, monkeypatch, capfd, error
    ):
        def refuse(*_):
            raise error("not available")

        monkeypatch.setattr(signal, "setitimer", refuse)
        log = LogWriter(sys.stdout.fileno(), "host", SystemClock())
        watch = ProcessorWatch(WatchSettings(13), log)
        watch.start()
        watch.reset()
        watch.stop()
        log.flush()
        (line,) = capfd.readouterr().out.splitlines()
        assert json.loads(line)["event"] == 122
