"""State that hosts share by gossip beside the membership."""

from typing import Any, Protocol

from foxtailseam.fleet._host_record import HostRecord


class StateSource(Protocol):
    """State of one kind that hosts tell one another."""

    def notices(self) -> tuple[Any, ...]:
        """Return what another host should know; empty if there is nothing."""

    def merge(self, sender: HostRecord, notices: tuple[Any, ...]) -> None:
        """Merge what another host has sent.

        Parameters
        ----------
        sender : HostRecord
            Record of that host.
        notices : tuple
            Its notices; never empty.
        """


class StateExchange:
    """The sources of state, each with a field of `MemberExchange` of its own.

    The fields are optional: a host of another release sends none and ignores those of
    this one.
    """

    def __init__(self):
        self._sources: dict[str, StateSource] = {}

    def register(self, field: str, source: StateSource) -> None:
        """Add a source.

        Parameters
        ----------
        field : str
            Name of the field of `MemberExchange` that holds its notices.
        source : StateSource
            The source.
        """
        self._sources[field] = source

    def notices(self) -> dict[str, tuple[Any, ...]]:
        """Return the notices by the name of their field, without empty fields."""
        notices = {field: source.notices() for field, source in self._sources.items()}
        return {field: items for field, items in notices.items() if items}

    def merge(self, sender: HostRecord, message: object) -> None:
        """Pass the notices of a message on to their sources.

        Parameters
        ----------
        sender : HostRecord
            Record of the host that sent the message.
        message : MemberExchange
            Its message.
        """
        for field, source in self._sources.items():
            notices = getattr(message, field)
            if notices:
                source.merge(sender, notices)
