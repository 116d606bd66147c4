"""Simulation of a host in virtual time: the real front end with simulated searchers."""

from foxtailseam_bench.simulation._admission_gossip import SimulatedGossip
from foxtailseam_bench.simulation._event_loop import (
    VirtualEventLoop,
    run_in_virtual_time,
)
from foxtailseam_bench.simulation._fleet import SimulatedFleet, SimulatedHost
from foxtailseam_bench.simulation._link import LinkFault, SimulatedLink
from foxtailseam_bench.simulation._searcher import SimulatedSearcher
from foxtailseam_bench.simulation._spillover import (
    SpilloverLoad,
    SpilloverReplay,
    SpilloverResult,
)
from foxtailseam_bench.simulation._tier import (
    SimulatedCall,
    SimulatedTier,
    simulated_hosts,
    simulated_service,
    simulated_shards,
    tier_number,
)
from foxtailseam_bench.simulation._time import VirtualTime

__all__ = [
    "LinkFault",
    "SimulatedCall",
    "SimulatedFleet",
    "SimulatedGossip",
    "SimulatedHost",
    "SimulatedLink",
    "SimulatedSearcher",
    "SimulatedTier",
    "SpilloverLoad",
    "SpilloverReplay",
    "SpilloverResult",
    "VirtualEventLoop",
    "VirtualTime",
    "run_in_virtual_time",
    "simulated_hosts",
    "simulated_service",
    "simulated_shards",
    "tier_number",
]
