"""Worker threads for blocking calls, awaited from an event loop."""

import asyncio
import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, TypeVar

Value = TypeVar("Value")


class WorkerThreads:
    """Daemon threads: a process can end while one still waits on a socket.

    Threads are started as they are needed, up to a limit.

    Parameters
    ----------
    limit : int
        Most threads.
    name : str
        Name of the threads.
    """

    def __init__(self, limit: int, name: str):
        self.limit = limit
        self.name = name
        self._calls: SimpleQueue = SimpleQueue()
        self._started = 0
        self._busy = 0

    def run(self, function: Callable[..., Value], *arguments: Any) -> asyncio.Future:
        """Call `function` in a thread; to be used from one event loop.

        Returns
        -------
        asyncio.Future
            Its value, or its exception.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future = loop.create_future()
        self._busy += 1
        if self._busy > self._started < self.limit:
            self._started += 1
            threading.Thread(target=self._work, name=self.name, daemon=True).start()
        self._calls.put((loop, future, function, arguments))
        return future

    def _work(self) -> None:
        while True:
            loop, future, function, arguments = self._calls.get()
            value, error = None, None
            try:
                value = function(*arguments)
            except Exception as caught:
                error = caught
            try:
                loop.call_soon_threadsafe(self._finish, future, value, error)
            except RuntimeError:
                # The loop is closed: the process is ending.
                return

    def _finish(
        self, future: asyncio.Future, value: Any, error: Exception | None
    ) -> None:
        self._busy -= 1
        if future.done():
            return
        if error is None:
            future.set_result(value)
        else:
            future.set_exception(error)
