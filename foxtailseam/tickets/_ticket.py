"""Tickets and their text representation."""

import re
from dataclasses import dataclass

_TICKET_PATTERN = re.compile(
    r"(?P<entry>[0-9.]{7,15}:[0-9]{1,5})/(?P<incarnation>[0-9a-f]{24})"
    r"/(?P<secret>[0-9a-f]{24})"
)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one non-repeatable request once.

    Only the entry process that minted the ticket can run the request.

    Parameters
    ----------
    entry : str
        Peer address of that entry process, ``IP:PORT``.
    incarnation : str
        Identifier of that process, 24 hexadecimal digits. After a restart the
        entry does not run the ticket.
    secret : str
        Random part, 24 hexadecimal digits.
    """

    entry: str
    incarnation: str
    secret: str

    def __str__(self) -> str:
        return f"{self.entry}/{self.incarnation}/{self.secret}"


def parse_ticket(text: str) -> Ticket | None:
    """Parse the text representation of a ticket.

    Parameters
    ----------
    text : str
        Text as returned by ``str(ticket)``: ``IP:PORT/INCARNATION/SECRET``.

    Returns
    -------
    Ticket or None
        The ticket, or None if `text` is malformed.
    """
    match = _TICKET_PATTERN.fullmatch(text)
    return Ticket(**match.groupdict()) if match else None
