"""Values and helpers of the load tests."""

# Latency goal of the simulated routes, in seconds.
GOAL = 0.092
# Network round trip between a caller and the host in the simulation, in seconds.
NETWORK_DELAY = 0.006


def share_in_goal(calls):
    calls = list(calls)
    served = [
        call
        for call in calls
        if call.response.status == 200 and call.seconds + NETWORK_DELAY <= GOAL
    ]
    return len(served) / len(calls)
