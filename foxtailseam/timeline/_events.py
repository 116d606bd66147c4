"""An event of the timeline."""

from dataclasses import dataclass

from foxtailseam.clocks import HybridTimestamp


@dataclass(frozen=True, slots=True)
class Event:
    """An event that a process recorded.

    Parameters
    ----------
    stamp : HybridTimestamp
        Hybrid logical time; orders the events of all processes such that a cause
        precedes its effects.
    wall : str
        Wall-clock time in UTC, ISO 8601 with milliseconds.
    monotonic : float
        Monotonic time of the process in seconds.
    number : int
        Number of the event in the catalogue.
    name : str
        Name of the event in the catalogue.
    host, process, incarnation : str
        Identity of the process that recorded the event.
    request_id : str
        Identifier of the request that the event belongs to, or empty.
    fields : dict of str to str
        Additional fields, by name.
    """

    stamp: HybridTimestamp
    wall: str
    monotonic: float
    number: int
    name: str
    host: str
    process: str
    incarnation: str
    request_id: str
    fields: dict[str, str]

    def __str__(self) -> str:
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        source = f"{self.host}/{self.process}"
        request = f" request={self.request_id}" if self.request_id else ""
        return f"{self.wall} {source:<22} {self.number} {self.name}{request} {fields}"
