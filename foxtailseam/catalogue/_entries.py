"""Entry that a searcher publishes about itself."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SearcherEntry:
    """Published properties of one searcher.

    Parameters
    ----------
    identifier : str
        Identifier of the searcher; usually a new one at each start.
    service : str
        Name of the service to which it belongs.
    address : str
        ``IP:PORT`` on which it accepts requests.
    failure_domain : str
        Failure domain of its host.
    slots : int
        Number of requests that it runs concurrently, at least 1.
    is_draining : bool
        Whether it is shutting down and must get no new requests.
    warmup : timedelta
        How much longer it is slow after its start, measured when the entry was
        published.
    started_ms : int
        Unix time of its start in milliseconds; distinguishes two processes that use
        the same identifier.
    sequence : int
        Number of times that the searcher has written the entry. Ignored when entries
        are compared.
    """

    identifier: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    warmup: timedelta
    started_ms: int
    sequence: int = field(default=0, compare=False)

    def is_newer_than(self, other: "SearcherEntry") -> bool:
        """Return whether the searcher wrote this entry after another one of its."""
        return (self.started_ms, self.sequence) > (other.started_ms, other.sequence)
