"""An entry that cannot be read, written beside those of the searchers."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from deployment import Deployment, NotRunError, route, run_case

from foxtailseam_bench.platform_stand_in import StandInSearcher

HOSTS = 6
# Bytes of another writer that are no entry: an unfinished document of 7 kB.
UNREADABLE = b'{"a":' * 1500
OBSERVED_SECONDS = 20.0
# A tenth of the machines, two at least, whose processes ended three times.
MAX_HOSTS, MAX_ENDS = 2, 3


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether the processes survive the entry."""
    for name in ("i-1", "i-2"):
        await deployment.add_searcher(StandInSearcher(name, b"x" * 64), "portal")
    deployment.publish([route("fetch", "portal")], ["portal"])
    deployment.add_hosts(HOSTS)
    for host in deployment.hosts:
        await host.wait_until_ready()
    before = await deployment.ask_in_turn("/fetch/", 3.0)
    deployment.record(f"served before: {before}")
    if before[0] < before[1]:
        raise NotRunError("not all requests were served before the disruption")
    if has_trouble:
        revision = deployment.store.put("servers/i-other", UNREADABLE)
        deployment.record(
            f"servers/i-other written at revision {revision}: {len(UNREADABLE)} bytes "
            f"that begin with {UNREADABLE[:20]!r}"
        )
    after = await deployment.ask_in_turn("/fetch/", OBSERVED_SECONDS)
    deployment.record(f"served after: {after}")
    ends = [len(host.own_ends) for host in deployment.hosts]
    deployment.record(f"processes that ended by themselves, by host: {ends}")
    return sum(count >= MAX_ENDS for count in ends) < MAX_HOSTS


run_case(Path(__file__).parent, case)
