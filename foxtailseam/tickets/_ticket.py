"""A ticket, and its text form."""

import re
from dataclasses import dataclass

_TEXT = re.compile(
    r"(?P<entry>[0-9.]{7,15}:[0-9]{1,5})/(?P<incarnation>[0-9a-f]{24})"
    r"/(?P<secret>[0-9a-f]{24})"
)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Allows one run of one request, by the process that minted it.

    Parameters
    ----------
    entry : str
        Peer address of the entry that minted it.
    incarnation : str
        The run of that entry; a later one never honours the ticket.
    secret : str
        Random part.
    """

    entry: str
    incarnation: str
    secret: str

    def __str__(self) -> str:
        return f"{self.entry}/{self.incarnation}/{self.secret}"


def parse_ticket(text: str) -> Ticket | None:
    """Return the ticket that `text` stands for, or None."""
    match = _TEXT.fullmatch(text)
    return Ticket(**match.groupdict()) if match else None
