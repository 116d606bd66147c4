"""Catalogue of the numbered log events; a test compares docs/events.md with it."""

from enum import Enum, IntEnum


class Severity(IntEnum):
    """Severity of an event for operators."""

    DEBUG = 1
    INFO = 2
    WARNING = 3
    ERROR = 4


class EventCode(Enum):
    """Log event with its number, severity and meaning.

    The name in lowercase, with hyphens, is the name of the event in the log.
    """

    PROCESS_STARTED = (100, Severity.INFO, "a process serves")
    PROCESS_DRAINING = (101, Severity.INFO, "a process got SIGTERM and drains")
    PROCESS_STOPPED = (102, Severity.INFO, "a process ended its drain")
    DRAIN_BOUND_REACHED = (103, Severity.ERROR, "the drain ended with work in flight")
    PAUSE_DETECTED = (104, Severity.WARNING, "the process had not run for a while")
    SETTINGS_RELOADED = (105, Severity.INFO, "the settings were read again")
    SETTINGS_REFUSED = (106, Severity.ERROR, "the settings cannot be used")
    READINESS_CHANGED = (107, Severity.INFO, "the balancer is told otherwise from now")
    LINES_SUPPRESSED = (108, Severity.WARNING, "lines were left out of the log")
    RULES_ACCEPTED = (200, Severity.INFO, "a revision of the rules came into force")
    RULES_REFUSED = (201, Severity.ERROR, "a published rules file is invalid")
    RULES_STALE = (202, Severity.WARNING, "the service published an older revision")
    SNAPSHOT_ADOPTED = (210, Severity.INFO, "a newer shard map came into use")
    HOSTS_ADOPTED = (220, Severity.INFO, "a new list of hosts came into use")
    PLATFORM_FAILED = (230, Severity.WARNING, "a read of the platform failed")
    PLATFORM_REFUSED = (231, Severity.ERROR, "a published value cannot be read")
    CONFIGURATION_ACCEPTED = (240, Severity.INFO, "a configuration came into force")
    CONFIGURATION_REFUSED = (241, Severity.ERROR, "a configuration cannot be read")
    CONFIGURATION_STALE = (242, Severity.WARNING, "an older configuration was left out")
    SERVICE_LOST = (243, Severity.WARNING, "the configuration service cannot be read")
    SERVICE_REGAINED = (244, Severity.INFO, "the configuration service can be read")
    REQUEST_ARRIVED = (300, Severity.DEBUG, "a caller's request was read")
    REQUEST_ANSWERED = (301, Severity.DEBUG, "a caller's request got its outcome")
    TICKET_MINTED = (310, Severity.DEBUG, "a ticket was given out")
    TICKET_STARTED = (311, Severity.INFO, "a ticket's request starts to run")
    TICKET_ENDED = (312, Severity.INFO, "a ticket's request ended")
    BATCH_RECEIVED = (320, Severity.DEBUG, "a gather got sub-requests")
    SUB_REQUEST_HEDGED = (321, Severity.DEBUG, "a second sub-request was sent")
    SUB_REQUEST_RETRIED = (322, Severity.INFO, "a failed sub-request was sent again")
    REQUEST_SERVED = (330, Severity.INFO, "a request got an answer of searchers")
    REQUEST_FAILED = (331, Severity.WARNING, "a request got no answer of searchers")
    REQUEST_REFUSED = (332, Severity.WARNING, "a request was refused; it was not run")
    REQUEST_ABANDONED = (333, Severity.INFO, "a caller left before its answer")
    REQUEST_UNREADABLE = (334, Severity.WARNING, "a request broke a limit or format")
    SEARCHER_STATE = (400, Severity.INFO, "a searcher's state changed")
    SEARCHER_LOST = (401, Severity.WARNING, "a searcher was lost with work in flight")
    ANSWER_MISMATCHED = (402, Severity.ERROR, "an answer was for another request")
    CONNECTIONS_DROPPED = (403, Severity.WARNING, "silent connections were dropped")
    SEARCHER_JOINED = (404, Severity.INFO, "a searcher may be used")
    SEARCHER_LEAVING = (405, Severity.INFO, "a searcher drains and gets no new work")
    SEARCHER_GONE = (406, Severity.INFO, "a searcher's entry is gone")
    SEARCHER_EJECTED = (407, Severity.WARNING, "a searcher is left alone for a while")
    SEARCHER_LAPSED = (409, Severity.INFO, "a searcher's entry is missing")
    SEARCHER_BACK = (410, Severity.INFO, "a missing entry was published again")
    ENTRY_REFUSED = (408, Severity.WARNING, "an entry names no searcher to use")
    PEER_STATE = (500, Severity.INFO, "what is known of a peer changed")
    PEER_UNREACHABLE = (501, Severity.WARNING, "another host did not answer a call")
    FOLLOWING = (502, Severity.INFO, "another host passes the configuration on")
    FOLLOWING_LOST = (503, Severity.WARNING, "a host that passed it on was lost")
    READING_STARTED = (504, Severity.INFO, "the host reads the service itself")
    READING_STOPPED = (505, Severity.INFO, "others read it; the host follows them")
    QUARANTINED = (510, Severity.WARNING, "a request crashes searchers; refused")

    def __init__(self, number: int, severity: Severity, meaning: str):
        self.number = number
        self.severity = severity
        self.meaning = meaning
