"""Faults of searchers that an experiment can hold for a while."""

from dataclasses import asdict

from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.searcher import SearcherBehaviour

SLOWER = 10.0


def straggler(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Make one searcher ten times slower."""
    deployment.set_behaviour(deployment.all_searchers()[0], slow_factor=SLOWER)


def lost_replica(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Reset all connections of one searcher, and accept none."""
    address = deployment.all_searchers()[0]
    deployment.set_behaviour(address, connections=0, cut="before")


def lost_domain(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Lose the first searcher of every third shard."""
    for addresses in list(deployment.searchers.values())[::3]:
        deployment.set_behaviour(addresses[0], connections=0, cut="before")


def shedding(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Have one searcher shed half of its requests."""
    deployment.set_behaviour(deployment.all_searchers()[0], shed=0.5)


def cold_start(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Make the first requests of every searcher slow, as after a restart."""
    deployment.set_behaviour_of_all(restart_cold=40)


def silent(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Silence every connection to searchers that is open now."""
    deployment.set_behaviour_of_all(silence=True)


FAULTS = {
    "straggler": straggler,
    "lost replica": lost_replica,
    "lost domain": lost_domain,
    "one sheds half": shedding,
    "cold start": cold_start,
    "silent connections": silent,
}


def clear_faults(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Let every searcher behave as at the start."""
    deployment.set_behaviour_of_all(**asdict(behaviour))
