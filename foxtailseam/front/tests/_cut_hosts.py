"""Host processes that tests cut from the searchers."""

from contextlib import contextmanager

from foxtailseam_bench.platform_deployment import eventually
from foxtailseam_bench.relay import TcpRelays

# Longer than a host needs to find out that it lost or regained its links.
DETECTION_SECONDS = 4.0


@contextmanager
def open_relays():
    relays = TcpRelays()
    try:
        yield relays
    finally:
        relays.close()


async def start_hosts(deployment, relays, second_relays=None):
    """Start a host behind relays and another one; return both when they are ready."""
    first = await deployment.start_host(1, relays=relays)
    seeds = (first.listen["control_plane"],)
    second = await deployment.start_host(2, seeds, relays=second_relays)
    for host in (first, second):
        await host.wait_until_ready()

    async def know_each_other():
        counts = [(await host.metrics())["hosts"] for host in (first, second)]
        return counts == [2, 2]

    await eventually(know_each_other, 10)
    return first, second


async def wait_for_links(host, are_up):
    async def is_so():
        return (await host.metrics())["reaches_searchers"] == are_up

    await eventually(is_so, DETECTION_SECONDS)


async def start_cut_host(deployment, relays):
    """Start two hosts and cut the first from the searchers; return both."""
    hosts = await start_hosts(deployment, relays)
    relays.refuse()
    await wait_for_links(hosts[0], False)
    return hosts


def runs(deployment, service):
    return [
        run
        for name, searcher in deployment.searchers.items()
        if service in name
        for run in searcher.runs
    ]


async def wait_until_running(deployment, service, count):
    async def is_running():
        return len(runs(deployment, service)) == count

    await eventually(is_running, 1)
