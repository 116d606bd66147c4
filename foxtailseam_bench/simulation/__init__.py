"""Simulation of a host in virtual time: the real front end with simulated searchers."""

from foxtailseam_bench.simulation._fleet import SimulatedFleet, SimulatedHost
from foxtailseam_bench.simulation._searcher import SimulatedSearcher
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
    "SimulatedCall",
    "SimulatedFleet",
    "SimulatedHost",
    "SimulatedSearcher",
    "SimulatedTier",
    "VirtualTime",
    "simulated_hosts",
    "simulated_service",
    "simulated_shards",
    "tier_number",
]
