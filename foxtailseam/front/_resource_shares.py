"""Shares of a process's memory and file descriptors that its connections may take."""

from foxtailseam.delegation import shard_call_rate
from foxtailseam.http import ListenerLimits
from foxtailseam.platform import HostLimits
from foxtailseam.routing import CallerLimits

# Fraction of the file descriptors, less RESERVED_DESCRIPTORS, for callers'
# connections; files, listeners and connections to searchers need the rest.
CALLER_DESCRIPTOR_SHARE = 0.5
# The same for connections of other hosts.
PEER_DESCRIPTOR_SHARE = 0.25
RESERVED_DESCRIPTORS = 200
# Fractions of the memory limit that buffers may take: bodies and headers of callers'
# requests, bodies of requests that other hosts have forwarded, requests and responses
# on connections to searchers, and responses that callers have not read.
BODY_MEMORY_SHARE = 0.15
HEADER_MEMORY_SHARE = 0.1
FORWARDED_BODY_MEMORY_SHARE = 0.05
SEARCHER_MEMORY_SHARE = 0.15
UNSENT_MEMORY_SHARE = 0.1
MEGABYTE = 1_000_000
# Limits of the listeners for readiness checks and metrics, whose requests are small.
SMALL_LIMITS = ListenerLimits(
    header_bytes=8_192,
    body_bytes=1_024,
    connections=50,
    buffered_bytes=65_536,
    buffered_header_bytes=1_000_000,
    unsent_bytes=4_000_000,
)


def searcher_buffer_bytes(resources: HostLimits) -> int:
    """Return the bytes for requests and responses on connections to searchers."""
    return _memory_share(resources, SEARCHER_MEMORY_SHARE)


def forwarded_body_bytes(resources: HostLimits) -> int:
    """Return the bytes for bodies of requests that other hosts have forwarded."""
    return _memory_share(resources, FORWARDED_BODY_MEMORY_SHARE)


def listener_limits(resources: HostLimits, limits: CallerLimits) -> ListenerLimits:
    """Return the limits of the listener for callers.

    Parameters
    ----------
    resources : HostLimits
        Resources that the process may use.
    limits : CallerLimits
        Limits on callers' requests.
    """
    return ListenerLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout=limits.header_timeout,
        idle_timeout=limits.idle_timeout,
        connections=_descriptor_share(resources, CALLER_DESCRIPTOR_SHARE),
        buffered_bytes=_memory_share(resources, BODY_MEMORY_SHARE),
        buffered_header_bytes=_memory_share(resources, HEADER_MEMORY_SHARE),
        unsent_bytes=_memory_share(resources, UNSENT_MEMORY_SHARE),
    )


def host_shard_call_rate(resources: HostLimits) -> int:
    """Return the calls to shards that the host can send in a second; 0 if unknown."""
    return shard_call_rate(resources.link_mbps, resources.cores)


def peer_connections(resources: HostLimits) -> int:
    """Return the number of connections that other hosts may open."""
    return _descriptor_share(resources, PEER_DESCRIPTOR_SHARE)


def _descriptor_share(resources: HostLimits, share: float) -> int:
    descriptors = resources.max_file_descriptors - RESERVED_DESCRIPTORS
    return max(1, int(descriptors * share))


def _memory_share(resources: HostLimits, share: float) -> int:
    return int(resources.memory_mb * MEGABYTE * share)
