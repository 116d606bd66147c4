"""The catalogue of numbered events; docs/events.md is held against it."""

from enum import Enum, IntEnum


class Severity(IntEnum):
    """How much an event matters to an operator."""

    DEBUG = 1
    INFO = 2
    WARNING = 3
    ERROR = 4


class EventCode(Enum):
    """Each event: number, severity, meaning."""

    PROCESS_STARTED = (100, Severity.INFO, "a process serves")
    PROCESS_DRAINING = (101, Severity.INFO, "a process got SIGTERM and drains")
    PROCESS_STOPPED = (102, Severity.INFO, "a process ended its drain")
    DRAIN_BOUND_REACHED = (103, Severity.ERROR, "the drain ended with work in flight")
    PAUSE_DETECTED = (104, Severity.WARNING, "the process had not run for a while")
    RULES_ACCEPTED = (200, Severity.INFO, "a revision of the rules came into force")
    RULES_REFUSED = (201, Severity.ERROR, "a published rules file is invalid")
    RULES_STALE = (202, Severity.WARNING, "the service published an older revision")
    SNAPSHOT_ADOPTED = (210, Severity.INFO, "a newer shard map came into use")
    HOSTS_ADOPTED = (220, Severity.INFO, "a new list of hosts came into use")
    PLATFORM_FAILED = (230, Severity.WARNING, "a read of the platform failed")
    PLATFORM_REFUSED = (231, Severity.ERROR, "a published value cannot be read")
    REQUEST_ARRIVED = (300, Severity.DEBUG, "a caller's request was read")
    REQUEST_ANSWERED = (301, Severity.DEBUG, "a caller's request got its outcome")
    TICKET_MINTED = (310, Severity.DEBUG, "a ticket was given out")
    TICKET_STARTED = (311, Severity.INFO, "a ticket's request starts to run")
    TICKET_ENDED = (312, Severity.INFO, "a ticket's request ended")
    BATCH_RECEIVED = (320, Severity.DEBUG, "a gather got sub-requests")
    SUB_REQUEST_HEDGED = (321, Severity.DEBUG, "a second sub-request was sent")
    SUB_REQUEST_RETRIED = (322, Severity.INFO, "a failed sub-request was sent again")
    SEARCHER_STATE = (400, Severity.INFO, "a searcher's state changed")
    SEARCHER_LOST = (401, Severity.WARNING, "a searcher was lost with work in flight")
    ANSWER_MISMATCHED = (402, Severity.ERROR, "an answer was for another request")
    CONNECTIONS_DROPPED = (403, Severity.WARNING, "silent connections were dropped")
    PEER_STATE = (500, Severity.INFO, "what is known of a peer changed")
    QUARANTINED = (510, Severity.WARNING, "a request crashes searchers; refused")

    def __init__(self, number: int, severity: Severity, meaning: str):
        self.number = number
        self.severity = severity
        self.meaning = meaning
