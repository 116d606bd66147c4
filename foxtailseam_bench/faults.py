"""Faults of searchers that an experiment injects and clears again."""

from dataclasses import asdict

from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.searcher import SearcherBehaviour

STRAGGLER_SLOW_FACTOR = 10.0


def straggler(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Make the first searcher ten times slower."""
    deployment.set_behaviour(
        deployment.all_searchers()[0], slow_factor=STRAGGLER_SLOW_FACTOR
    )


def lost_replica(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Make the first searcher accept no connection and reset each request."""
    address = deployment.all_searchers()[0]
    deployment.set_behaviour(address, connections=0, cut="before")


def lost_domain(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Make a searcher of every third shard fail, as if a failure domain was lost."""
    for addresses in list(deployment.searchers.values())[::3]:
        deployment.set_behaviour(addresses[0], connections=0, cut="before")


def shed_half(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Make the first searcher shed half of its requests."""
    deployment.set_behaviour(deployment.all_searchers()[0], shed=0.5)


def cold_start(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Make the first 40 requests of every searcher slow, as after a restart."""
    deployment.set_behaviour_of_all(restart_cold=40)


def silent_connections(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Make every open connection to searchers ignore requests; new ones work."""
    deployment.set_behaviour_of_all(silence=True)


FAULTS = {
    "straggler": straggler,
    "lost replica": lost_replica,
    "lost domain": lost_domain,
    "one sheds half": shed_half,
    "cold start": cold_start,
    "silent connections": silent_connections,
}


def clear_faults(deployment: Deployment, behaviour: SearcherBehaviour) -> None:
    """Restore the initial behaviour of every searcher."""
    deployment.set_behaviour_of_all(**asdict(behaviour))
