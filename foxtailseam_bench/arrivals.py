"""Open-loop load: searches are sent on schedule, whether or not earlier ones ended."""

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
    """An open-loop load of searches with Poisson arrivals.

    Parameters
    ----------
    entries : list of str
        Addresses of entries for callers, ``IP:PORT``; used round-robin.
    family : str
        Service family to search.
    rate : float
        Mean number of searches per second.
    seconds : float
        Duration of the load.
    seed : int
        Seed of the arrival times.
    threads : int
        Largest number of concurrent searches.
    """

    entries: list[str]
    family: str
    rate: float
    seconds: float
    seed: int = 1
    threads: int = 256


@dataclass(frozen=True)
class Arrival:
    """One search: its due time, latency, outcome and coverage.

    `due` is in seconds from the start of the load. `latency_ms` counts from the due
    time, so that delays of the load generator itself are not hidden. `outcome` is that
    of the answer or the name of an exception; `coverage` is the share of shards that
    the answer includes, 0 to 1.
    """

    due: float
    latency_ms: float
    outcome: str
    coverage: float


def run_arrivals(plan: ArrivalPlan) -> list[Arrival]:
    """Run a load; return its searches in the order of their due times."""
    random_source = random.Random(plan.seed)
    pools = [
        urllib3.HTTPConnectionPool(
            *_split_address(address), maxsize=plan.threads, retries=False
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
            delay = started + due - time.monotonic()
            if delay > 0:
                time.sleep(delay)
            executor.submit(search, number, due)
            due += random_source.expovariate(plan.rate)
            number += 1
    return sorted(arrivals, key=lambda arrival: arrival.due)


def _split_address(address: str) -> tuple[str, int]:
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
    answer = msgspec.json.decode(reply.data)
    coverage = answer.get("coverage", {"included": [], "lacking": []})
    included, lacking = len(coverage["included"]), len(coverage["lacking"])
    total = included + lacking
    return answer["outcome"], included / total if total else 0.0


def main(arguments: list[str]) -> None:
    """Run the plan of a JSON file and write the arrivals to another.

    `arguments` are the two paths.
    """
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
