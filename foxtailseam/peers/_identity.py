"""Who a process is."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Identity:
    """Identity of one run of a process.

    Parameters
    ----------
    host, process : str
        Names from the settings.
    failure_domain : str
        Where the host stands.
    address : str
        ``IP:PORT`` where it serves its peers.
    incarnation : str
        Random; another one for each run.
    """

    host: str
    process: str
    failure_domain: str
    address: str
    incarnation: str
