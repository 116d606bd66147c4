"""What a searcher says of itself."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SearcherEntry:
    """A searcher as it is published.

    Parameters
    ----------
    identifier : str
        Names this searcher; mostly a new one at each start.
    service : str
        Service that it belongs to.
    address : str
        ``IP:PORT``.
    failure_domain : str
        Failure domain of its host.
    slots : int
        Requests that it runs at a time.
    is_draining : bool
        Whether it leaves and wants no new work.
    warmup : timedelta
        How much longer it is slow after its start, when this was published.
    started_ms : int
        Unix time of its start in milliseconds; tells two runs apart that use
        one identifier.
    """

    identifier: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    warmup: timedelta
    started_ms: int
