"""Points in the history of the configuration service."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """Point in the history of the configuration service; later points are greater.

    Parameters
    ----------
    era : int
        Number of times that the service came back from an older copy of its data, plus
        a constant; 0 if the service names none. Changes of an earlier era may be lost.
    revision : int
        Revision within the era. A later era gives revisions out again.
    """

    era: int = 0
    revision: int = 0


# Position of a replica that has read nothing.
START = Position()
