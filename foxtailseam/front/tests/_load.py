"""Values and helpers of the load tests."""

from foxtailseam_bench.simulation import tier_number

# Latency goal of the simulated routes, in seconds.
GOAL = 0.092
# Mean time between two exchanges of notices of a host, in seconds.
EXCHANGE_SECONDS = 1.5
# Network round trip between a caller and the host in the simulation, in seconds.
NETWORK_DELAY = 0.006


def exchange_notices(tiers, generator):
    """Let each host tell another one what it knows of searchers, repeatedly."""
    for tier in tiers:
        own = tier.dispatcher.gates.conditions
        other = generator.choice(tiers).dispatcher.gates.conditions
        notices = own.notices()
        own.merge(other.notices())
        other.merge(notices)
    tiers[0].time.call_later(EXCHANGE_SECONDS, exchange_notices, tiers, generator)


def first_by_host(answers):
    """Return the time of the first of the answers to each host.

    Each answer is a pair of its time and the identifier of the request.
    """
    first = {}
    for at, identifier in answers:
        first.setdefault(tier_number(identifier), at)
    return first


def share_in_goal(calls):
    calls = list(calls)
    served = [
        call
        for call in calls
        if call.response.status == 200 and call.seconds + NETWORK_DELAY <= GOAL
    ]
    return len(served) / len(calls)
