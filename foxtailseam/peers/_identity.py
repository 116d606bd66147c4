"""Identity of a process."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Identity:
    """Identity of one run of a process.

    Parameters
    ----------
    host, process : str
        Names of the host and the process, from the settings.
    failure_domain : str
        Name of the failure domain of the host.
    address : str
        ``IP:PORT`` on which the process listens for its peers.
    incarnation : str
        Random identifier of this run of the process.
    """

    host: str
    process: str
    failure_domain: str
    address: str
    incarnation: str
