"""Choice of the connection to close when there are too many."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeVar

Connection = TypeVar("Connection")

# A caller that has read nothing for this long, in seconds, has stopped reading. It
# loses its responses to those that read, once the space for unsent ones is used up.
MIN_STALLED_SECONDS = 0.25


class UseKind(IntEnum):
    """What a connection is used for; the lower, the less its close costs its caller."""

    IDLE = 0
    # A request has arrived in part, so that it has not run.
    READING = 1
    # Its caller does not read the responses.
    STALLED = 2
    # A request runs, or its response is on its way.
    SERVING = 3


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """What a connection is used for.

    Parameters
    ----------
    kind : UseKind
        The kind of use.
    since : float
        Monotonic time since when, in seconds.
    """

    kind: UseKind
    since: float


def choose_connection_to_close(
    uses: Mapping[Connection, ConnectionUse], newest: Connection
) -> Connection:
    """Return the connection to close: of the lowest kind, the one longest in it.

    Parameters
    ----------
    uses : mapping
        Use of each connection.
    newest : object
        Connection that was just opened. It is closed itself if all others serve
        requests; nothing of it has been read yet.
    """
    others = (
        (use.kind, use.since, index, item)
        for index, (item, use) in enumerate(uses.items())
        if use.kind is not UseKind.SERVING and item is not newest
    )
    *_, chosen = min(others, default=(newest,))
    return chosen
