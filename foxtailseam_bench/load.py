"""A background load of searches that records the outcome of each."""

import itertools
import threading
import time
from dataclasses import dataclass, field

import urllib3

from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.plan import HostAddresses, Reply

QUERY_NUMBER_STRIDE = 1_000


@dataclass(frozen=True)
class Observation:
    """One search as its caller saw it.

    `entry` is the name of the entry's host; `started` and `ended` are monotonic
    seconds. `reply` is None if no complete reply came; `error` then describes the
    exception.
    """

    entry: str
    query: str
    started: float
    ended: float
    reply: Reply | None
    error: str = ""


@dataclass
class BackgroundLoad:
    """Threads that each send one search after the other until stopped.

    Parameters
    ----------
    deployment : Deployment
        The deployment whose hosts get the searches.
    family : str
        Service family to search.
    threads : int
        Number of threads, and so of concurrent searches.
    queries : list of str
        Queries, sent in turn.
    pause : float
        Seconds between two searches of a thread.

    Attributes
    ----------
    observations : list of Observation
        Searches that have ended, in no particular order.
    """

    deployment: Deployment
    family: str
    threads: int = 4
    queries: list[str] = field(
        default_factory=lambda: ["climber 0", "climber 1", "climber 2"]
    )
    pause: float = 0.01

    def __post_init__(self):
        self.observations: list[Observation] = []
        self._targets: list[HostAddresses] = list(self.deployment.hosts)
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(self.threads)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self) -> None:
        """Stop the threads after their searches in flight have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def exclude_host(self, host: HostAddresses) -> None:
        """Send no further searches to a host, as a load balancer does after a while."""
        self._targets = [item for item in self._targets if item is not host]

    def _run(self, thread_index: int) -> None:
        for number in itertools.count(thread_index * QUERY_NUMBER_STRIDE):
            if self._stop.is_set():
                return
            targets = self._targets
            if targets:
                host = targets[number % len(targets)]
                query = self.queries[number % len(self.queries)]
                self.observations.append(self._search(host, query))
            time.sleep(self.pause)

    def _search(self, host: HostAddresses, query: str) -> Observation:
        started = time.monotonic()
        reply, error = None, ""
        try:
            reply = self.deployment.search(host, self.family, query, timeout=10.0)
        except urllib3.exceptions.HTTPError as exception:
            error = repr(exception)
        ended = time.monotonic()
        return Observation(host.name, query, started, ended, reply, error)
