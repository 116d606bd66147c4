"""Messages between hosts."""

from dataclasses import dataclass

from foxtailseam.fleet._members import HostRecord
from foxtailseam.quarantine import SuspicionNotice
from foxtailseam.store import Change, Item, Removal


@dataclass(frozen=True, slots=True)
class MemberExchange:
    """What hosts tell each other; the reply is of the same form.

    Parameters
    ----------
    records : tuple of HostRecord
        The hosts that the sender knows.
    notices : tuple of SuspicionNotice
        The requests that crashed searchers.
    """

    records: tuple[HostRecord, ...]
    notices: tuple[SuspicionNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class WireChange:
    """A change of a key of the configuration service.

    Parameters
    ----------
    key : str
        Name.
    revision : int
        Revision of the change.
    value : bytes or None
        None if the key is gone.
    """

    key: str
    revision: int
    value: bytes | None

    @classmethod
    def of(cls, change: Change) -> "WireChange":
        """Return the message for a change."""
        match change:
            case Item(key=key, value=value, revision=revision):
                return cls(key, revision, value)
            case Removal(key=key, revision=revision):
                return cls(key, revision, None)

    def change(self) -> Change:
        """Return the change of a message."""
        if self.value is None:
            return Removal(self.key, self.revision)
        return Item(self.key, self.value, self.revision)


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """Asks a host to pass changes on.

    Parameters
    ----------
    sender : HostRecord
        Who asks.
    revision : int
        Up to which every change is known.
    """

    sender: HostRecord
    revision: int


@dataclass(frozen=True, slots=True)
class FollowUpdate:
    """Changes, and how old the sender's knowledge is.

    Parameters
    ----------
    changes : tuple of WireChange
        Changes after what was sent before; with `is_listing`, every key.
    revision : int
        Up to which every change is known with these.
    is_listing : bool
        Whether keys that are missing from `changes` are gone.
    age_ms : int
        Time since the sender's knowledge was level with the service.
    grace_ms : int
        How much longer lapsed entries may come back.
    """

    changes: tuple[WireChange, ...]
    revision: int
    is_listing: bool
    age_ms: int
    grace_ms: int
