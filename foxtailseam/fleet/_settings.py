"""Timing of gossip and of the replication between hosts."""

import random
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Limits of the connections of other hosts.

    Parameters
    ----------
    connections : int
        Number of open connections above which a new one closes the connection without
        calls that has been silent longest.
    calls : int
        Number of calls in progress on all connections above which the connection with
        most of them is closed.
    """

    connections: int = 200
    calls: int = 2_000


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Intervals and timeouts of gossip and of the replication between hosts.

    Parameters
    ----------
    exchange_interval : timedelta
        Mean pause between two gossip exchanges with a random host.
    seed_interval : timedelta
        Mean pause between two rounds of exchanges with the seeds that are not known
        as members; an eighth of it while no other host is known. These exchanges
        join groups of hosts that do not know of each other.
    update_interval : timedelta
        Longest time between two updates that a host sends to a follower.
    update_timeout : timedelta
        Time without an update after which a followed host counts as failed.
    timeout : timedelta
        Timeout of a call, and of opening a connection.
    max_staleness : timedelta
        Age of the updates from other hosts above which this host reads the
        configuration service itself.
    read_hold_time : timedelta
        How long this host keeps reading the service after other hosts send recent
        updates again.
    settle_time : timedelta
        Longest time after the start in which this host may not know enough members to
        tell whether it has to read the service; the seeds read it meanwhile.
    start_patience : timedelta
        How long a host that is no seed waits after its start for a copy from others
        before it reads the service itself.
    peer_limits : PeerLimits
        Limits of the connections that other hosts open.
    """

    exchange_interval: timedelta = timedelta(milliseconds=1500)
    seed_interval: timedelta = timedelta(seconds=4)
    update_interval: timedelta = timedelta(milliseconds=500)
    update_timeout: timedelta = timedelta(milliseconds=1400)
    timeout: timedelta = timedelta(milliseconds=500)
    max_staleness: timedelta = timedelta(milliseconds=1400)
    read_hold_time: timedelta = timedelta(seconds=2)
    settle_time: timedelta = timedelta(seconds=6)
    start_patience: timedelta = timedelta()
    peer_limits: PeerLimits = PeerLimits()


def jittered(interval: timedelta, generator: random.Random) -> float:
    """Return an interval in seconds, randomly shortened or extended by up to 30 %.

    Parameters
    ----------
    interval : timedelta
        Mean interval.
    generator : random.Random
        Source of randomness.
    """
    return interval.total_seconds() * generator.uniform(0.7, 1.3)
