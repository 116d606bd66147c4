"""How fast a host sends the calls of a query, and what another host would save."""

from foxtailseam.forwarding import HOP_SECONDS

# Bytes of a call to one shard in each direction, with the headers of all protocols.
SHARD_CALL_BYTES = 550
# Time of a whole processor core that a call to one shard takes, in seconds.
SHARD_CALL_CORE_SECONDS = 0.0001
# A coordinator takes no further query while the calls of those that it serves for
# others amount to this time of its link or processor, in seconds.
MAX_BACKLOG_SECONDS = 0.03

_BYTES_PER_MEGABIT = 125_000


def shard_call_rate(link_mbps: float, cores: float) -> int:
    """Return the calls to shards that a host can send in a second.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the host's link in megabits per second; 0 if unknown.
    cores : float
        Processor time that the process gets, in cores; 0 if unknown.

    Returns
    -------
    int
        Calls per second; 0 if the bandwidth or the processor time is unknown.
    """
    by_link = link_mbps * _BYTES_PER_MEGABIT / SHARD_CALL_BYTES
    by_processor = cores / SHARD_CALL_CORE_SECONDS
    return int(min(by_link, by_processor))


def saved_seconds(shards: int, own_rate: int, other_rate: int) -> float:
    """Return the time that a query of all shards saves at another host.

    Parameters
    ----------
    shards : int
        Number of shards that the query calls.
    own_rate, other_rate : int
        Calls to shards that this host and the other one can send in a second; 0 if
        unknown.

    Returns
    -------
    float
        Seconds, less those for the way to the other host and back; negative if it takes
        longer there, and if a rate is unknown.
    """
    if not own_rate or not other_rate:
        return -HOP_SECONDS
    return shards / own_rate - shards / other_rate - HOP_SECONDS
