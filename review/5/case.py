"""Searchers in trouble send the head of an answer without end."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from deployment import Deployment, NotRunError, route, run_case

from foxtailseam_bench.platform_stand_in import StandInSearcher

HOSTS = 3
SEARCHERS = 4
# The spoilt answers: share of the searchers that give them, and share of their answers.
TROUBLED_SEARCHERS = 2
SPOILT_SHARE = 0.02
OBSERVED_SECONDS = 75.0
REQUESTS_PER_SECOND = 24.0
# A tenth of the machines, two at least, whose processes ended three times.
MAX_HOSTS, MAX_ENDS = 2, 3
HEADER_LINES = b"x-a: b\r\n" * 2048


class EndlessSearcher(StandInSearcher):
    """Searcher that spoils some of its answers: their heads have no end."""

    spoilt_share = 0.0
    spoilt = 0

    async def _run(self, reader, writer, request, headers) -> None:
        if random.random() >= self.spoilt_share:
            await super()._run(reader, writer, request, headers)
            return
        self.spoilt += 1
        self.runs.append(request)
        writer.write(b"HTTP/1.1 200 OK\r\n")
        while True:
            writer.write(HEADER_LINES)
            await writer.drain()
            await asyncio.sleep(0)


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether the processes survive the answers."""
    for number in range(SEARCHERS):
        searcher = EndlessSearcher(f"i-{number}", b"x" * 6000, seconds=0.09)
        await deployment.add_searcher(searcher, "portal")
    deployment.publish(
        [route("book", "portal", type="non_idempotent", max_attempts=1)], ["portal"]
    )
    deployment.add_hosts(HOSTS)
    for host in deployment.hosts:
        await host.wait_until_ready()
    served, sent = await send(deployment, 4.0)
    deployment.record(f"served before: {served} of {sent}")
    if served < sent:
        raise NotRunError("not all requests were served before the disruption")
    if has_trouble:
        for searcher in list(deployment.searchers.values())[:TROUBLED_SEARCHERS]:
            searcher.spoilt_share = SPOILT_SHARE
    served, sent = await send(deployment, OBSERVED_SECONDS)
    deployment.record(f"served after: {served} of {sent}")
    spoilt = sum(item.spoilt for item in deployment.searchers.values())
    runs = sum(len(item.runs) for item in deployment.searchers.values())
    deployment.record(f"answers with an endless head: {spoilt} of {runs}")
    ends = [len(host.own_ends) for host in deployment.hosts]
    deployment.record(f"processes that ended by themselves, by host: {ends}")
    return sum(count >= MAX_ENDS for count in ends) < MAX_HOSTS


async def send(deployment: Deployment, seconds: float) -> tuple[int, int]:
    """Send requests at a steady rate; return how many were served and sent."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    while loop.time() < end:
        host = random.choice(deployment.hosts)
        task = asyncio.create_task(deployment.ask_once(host, "/book/", 4000))
        tasks.append(task)
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    answers = await asyncio.gather(*tasks)
    return sum(answer.status == 200 for answer in answers), len(answers)


run_case(Path(__file__).parent, case)
