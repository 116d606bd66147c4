"""Messages, clients and services for gRPC calls between processes."""

from foxtailseam.rpc._client import CallError, PeerChannels
from foxtailseam.rpc._messages import (
    Envelope,
    ExchangeReply,
    ExchangeRequest,
    PullReply,
    PullRequest,
    SearchReply,
    SearchRequest,
    SubmitReply,
    SubmitRequest,
    SubmitStatus,
    TicketReply,
    TicketRequest,
    TicketStatus,
)
from foxtailseam.rpc._services import EntryService, GatherService, Method, PeerService

__all__ = [
    "CallError",
    "EntryService",
    "Envelope",
    "ExchangeReply",
    "ExchangeRequest",
    "GatherService",
    "Method",
    "PeerChannels",
    "PeerService",
    "PullReply",
    "PullRequest",
    "SearchReply",
    "SearchRequest",
    "SubmitReply",
    "SubmitRequest",
    "SubmitStatus",
    "TicketReply",
    "TicketRequest",
    "TicketStatus",
]
