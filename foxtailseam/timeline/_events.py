"""One event of the time line."""

from dataclasses import dataclass

from foxtailseam.clocks import HybridTimestamp


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened in one process.

    Parameters
    ----------
    stamp : HybridTimestamp
        Orders events of all processes, cause before effect.
    wall : str
        Wall time, ISO 8601, UTC.
    monotonic : float
        Seconds on the process's own clock.
    number : int
        Number of the event in the catalogue.
    name : str
        Name of the event in the catalogue.
    host, process, incarnation : str
        Where it happened.
    request_id : str
        The request it belongs to, or empty.
    fields : dict of str to str
        Further facts.
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
        facts = " ".join(f"{key}={value}" for key, value in self.fields.items())
        where = f"{self.host}/{self.process}"
        request = f" request={self.request_id}" if self.request_id else ""
        return f"{self.wall} {where:<22} {self.number} {self.name}{request} {facts}"
