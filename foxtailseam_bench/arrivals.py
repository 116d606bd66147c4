"""Open arrivals: callers that come whether or not earlier ones were answered."""

import json
import random
import resource
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec
import urllib3


@dataclass(frozen=True)
class ArrivalPlan:
    """A load of searches.

    Parameters
    ----------
    entries : list of str
        Callers' addresses, taken in turn.
    family : str
        Service family.
    rate : float
        Searches a second, as a Poisson process.
    seconds : float
        Length of the load.
    seed : int
        Same seed, same arrivals.
    threads : int
        Most searches under way at a time.
    """

    entries: list[str]
    family: str
    rate: float
    seconds: float
    seed: int = 1
    threads: int = 256


@dataclass(frozen=True)
class Arrival:
    """One search: when it was due, how long until its answer, what it was.

    `latency_ms` counts from the due time, so that a late send is not hidden.
    """

    due: float
    latency_ms: float
    outcome: str
    coverage: float


def run_arrivals(plan: ArrivalPlan) -> list[Arrival]:
    """Run a plan; return its arrivals in the order of their due time."""
    random_source = random.Random(plan.seed)
    pools = [
        urllib3.HTTPConnectionPool(
            *_split(address), maxsize=plan.threads, retries=False
        )
        for address in plan.entries
    ]
    arrivals: list[Arrival] = []
    lock = threading.Lock()
    started = time.monotonic() + 0.2

    def search(number: int, due: float) -> None:
        pool = pools[number % len(pools)]
        outcome, coverage = _search(pool, plan.family, f"climber {number % 3}")
        latency = (time.monotonic() - started - due) * 1000
        with lock:
            arrivals.append(Arrival(due, latency, outcome, coverage))

    with ThreadPoolExecutor(plan.threads) as executor:
        due = 0.0
        number = 0
        while due < plan.seconds:
            pause = started + due - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            executor.submit(search, number, due)
            due += random_source.expovariate(plan.rate)
            number += 1
    return sorted(arrivals, key=lambda arrival: arrival.due)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _search(
    pool: urllib3.HTTPConnectionPool, family: str, query: str
) -> tuple[str, float]:
    url = f"/v1/families/{family}/search"
    body = msgspec.json.encode({"query": query})
    try:
        reply = pool.urlopen("POST", url, body=body, retries=False, timeout=10.0)
    except urllib3.exceptions.HTTPError as error:
        return type(error).__name__, 0.0
    page = msgspec.json.decode(reply.data)
    coverage = page.get("coverage", {"included": [], "lacking": []})
    included, lacking = len(coverage["included"]), len(coverage["lacking"])
    total = included + lacking
    return page["outcome"], included / total if total else 0.0


def main(arguments: list[str]) -> None:
    """Run the plan of a JSON file; write the arrivals to another."""
    plan_path, result_path = arguments
    plan = ArrivalPlan(**json.loads(Path(plan_path).read_text()))
    arrivals = run_arrivals(plan)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    result = {
        "arrivals": [asdict(arrival) for arrival in arrivals],
        "processor_seconds": usage.ru_utime + usage.ru_stime,
    }
    Path(result_path).write_text(json.dumps(result))


if __name__ == "__main__":
    main(sys.argv[1:])
