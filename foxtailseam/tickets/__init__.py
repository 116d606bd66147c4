"""Tickets, which ensure that a non-repeatable request runs at most once."""

from foxtailseam.tickets._registry import TicketRegistry
from foxtailseam.tickets._ticket import Ticket, parse_ticket
from foxtailseam.tickets._transitions import TicketEvent, TicketState

__all__ = ["Ticket", "TicketRegistry", "TicketEvent", "TicketState", "parse_ticket"]
