"""Catalogue of the numbered log events; a test compares docs/events.md with it."""

from enum import Enum, IntEnum


class Severity(IntEnum):
    """Severity of an event for operators."""

    DEBUG = 1
    INFO = 2
    WARNING = 3
    ERROR = 4


class EventCode(Enum):
    """Log event with its number, its severity and its meaning for operators.

    The member's name, in lowercase and with hyphens, is the event's name in the log.
    """

    PROCESS_STARTED = (100, Severity.INFO, "a process started to serve")
    PROCESS_DRAINING = (101, Severity.INFO, "a process got SIGTERM and drains")
    PROCESS_STOPPED = (102, Severity.INFO, "a process stopped after its drain")
    DRAIN_BOUND_REACHED = (103, Severity.ERROR, "a drain timed out with work in flight")
    PAUSE_DETECTED = (104, Severity.WARNING, "the process did not run for a while")
    SETTINGS_RELOADED = (105, Severity.INFO, "the settings file was reloaded")
    SETTINGS_REFUSED = (106, Severity.ERROR, "the settings file is invalid")
    READINESS_CHANGED = (107, Severity.INFO, "the answer to readiness checks changed")
    LINES_SUPPRESSED = (108, Severity.WARNING, "log lines were dropped")
    PROCESS_FAILED = (109, Severity.ERROR, "a process ends because of an error")
    TASK_FAILED = (110, Severity.ERROR, "a background task failed unexpectedly")
    CALLBACK_FAILED = (120, Severity.ERROR, "a callback of the event loop failed")
    LOOP_STUCK = (121, Severity.ERROR, "the event loop runs one callback too long")
    PROCESSOR_WATCH_UNAVAILABLE = (122, Severity.WARNING, "no timer tells a stuck loop")
    LIBRARY_WARNING = (123, Severity.WARNING, "a library logged a warning or an error")
    RULES_ACCEPTED = (200, Severity.INFO, "a revision of the rules came into force")
    RULES_REFUSED = (201, Severity.ERROR, "a published rules file is invalid")
    RULES_STALE = (202, Severity.WARNING, "an older published revision was ignored")
    SNAPSHOT_ADOPTED = (210, Severity.INFO, "a newer shard map came into force")
    HOSTS_ADOPTED = (220, Severity.INFO, "a newer list of hosts came into force")
    PLATFORM_FAILED = (230, Severity.WARNING, "a read from the platform failed")
    PLATFORM_REFUSED = (231, Severity.ERROR, "a published value is invalid")
    CONFIGURATION_ACCEPTED = (240, Severity.INFO, "a configuration came into force")
    CONFIGURATION_REFUSED = (241, Severity.ERROR, "a configuration is invalid")
    CONFIGURATION_STALE = (242, Severity.WARNING, "an older configuration was ignored")
    SERVICE_LOST = (243, Severity.WARNING, "the configuration service is unavailable")
    SERVICE_REGAINED = (244, Severity.INFO, "the configuration service is available")
    READ_FAILED = (245, Severity.INFO, "a read of the configuration service failed")
    ERA_STARTED = (246, Severity.WARNING, "the service came back from an older copy")
    CHANGE_FAILED = (249, Severity.ERROR, "a change could not be applied")
    EVACUATION_STARTED = (250, Severity.WARNING, "a failure domain is evacuated")
    EVACUATION_ENDED = (251, Severity.INFO, "a failure domain is used again")
    EVACUATION_UNKNOWN = (252, Severity.WARNING, "an evacuated domain is unknown")
    EVACUATION_KEPT = (253, Severity.WARNING, "a missing evacuation order is kept")
    SEARCHER_COLD = (254, Severity.INFO, "a searcher is cold and takes few requests")
    REQUEST_ARRIVED = (300, Severity.DEBUG, "a caller's request was received")
    REQUEST_ANSWERED = (301, Severity.DEBUG, "a caller's request was answered")
    TICKET_MINTED = (310, Severity.DEBUG, "a ticket was issued")
    TICKET_STARTED = (311, Severity.INFO, "a ticket's request started to run")
    TICKET_ENDED = (312, Severity.INFO, "a ticket's request ended")
    BATCH_RECEIVED = (320, Severity.DEBUG, "a gather received sub-requests of a query")
    SUB_REQUEST_HEDGED = (321, Severity.DEBUG, "a slow sub-request was sent again")
    SUB_REQUEST_RETRIED = (322, Severity.INFO, "a failed sub-request was retried")
    REQUEST_SERVED = (330, Severity.INFO, "a request was answered by searchers")
    REQUEST_FAILED = (331, Severity.WARNING, "a request failed; it may have run")
    REQUEST_REFUSED = (332, Severity.WARNING, "a request was rejected; it was not run")
    REQUEST_ABANDONED = (333, Severity.INFO, "a caller disconnected before its answer")
    REQUEST_UNREADABLE = (334, Severity.WARNING, "a request is invalid or over a limit")
    REQUEST_FORWARDED = (335, Severity.INFO, "a request was forwarded to another host")
    FORWARD_DECLINED = (336, Severity.INFO, "a forwarded request was given back")
    DELEGATION_RETURNED = (337, Severity.INFO, "a delegated query was not answered")
    REQUEST_BROKEN = (339, Severity.ERROR, "the handling of a request failed")
    ADMISSION_LIMITED = (345, Severity.WARNING, "the joint admitted share applies")
    ADMISSION_RELEASED = (
        346,
        Severity.INFO,
        "the joint admitted share ended",
    )
    CONNECTIONS_CLOSED = (340, Severity.WARNING, "connections were closed at the limit")
    PEER_CONNECTIONS_CLOSED = (
        341,
        Severity.WARNING,
        "connections of other hosts were closed at a limit",
    )
    REQUESTS_HELD = (342, Severity.WARNING, "pipelined requests are left unread")
    SEARCHER_STATE = (400, Severity.INFO, "a searcher's state changed")
    SEARCHER_LOST = (401, Severity.WARNING, "a searcher was lost with work in flight")
    ANSWER_MISMATCHED = (402, Severity.ERROR, "a response was to another request")
    CONNECTIONS_DROPPED = (403, Severity.WARNING, "connections were dropped on timeout")
    SEARCHER_JOINED = (404, Severity.INFO, "a searcher was published as ready")
    SEARCHER_LEAVING = (405, Severity.INFO, "a searcher drains and gets no new work")
    SEARCHER_GONE = (406, Severity.INFO, "a searcher was removed")
    SEARCHER_EJECTED = (407, Severity.WARNING, "a searcher is avoided after failures")
    SEARCHER_LAPSED = (409, Severity.INFO, "a searcher's entry is missing")
    SEARCHER_BACK = (410, Severity.INFO, "a missing entry was published again")
    SEARCHER_LIMITED = (411, Severity.INFO, "a searcher named another limit, or none")
    SEARCHER_LIMIT_INVALID = (412, Severity.WARNING, "a searcher's limit is invalid")
    SEARCHER_LEAVING_SOON = (413, Severity.INFO, "a searcher's answer said it leaves")
    SEARCHER_PAUSED = (414, Severity.INFO, "a searcher asked this host for a pause")
    SEARCHER_PAUSE_INVALID = (415, Severity.WARNING, "a searcher's pause is invalid")
    SEARCHER_SLOW = (
        430,
        Severity.INFO,
        "hosts report a searcher as slow",
    )
    SEARCHER_SLOW_ENDED = (431, Severity.INFO, "a searcher is no longer taken as slow")
    SEARCHER_MEASURED_SLOW = (
        432,
        Severity.DEBUG,
        "this host found a searcher to be slow",
    )
    SEARCHER_MEASURED_NORMAL = (
        433,
        Severity.DEBUG,
        "this host found a slow searcher fast again",
    )
    SLOWNESS_REPORTS_IGNORED = (
        434,
        Severity.WARNING,
        "a host reports too many as slow",
    )
    LINKS_CHANGED = (416, Severity.WARNING, "the host lost or regained the searchers")
    SPILLOVER_STARTED = (420, Severity.INFO, "a service's spillover share is kept")
    SPILLOVER_ENDED = (421, Severity.INFO, "a service has no spillover share any more")
    ENTRY_REFUSED = (408, Severity.WARNING, "a searcher's entry is invalid")
    PEER_STATE = (500, Severity.INFO, "a peer's state changed")
    PEER_UNREACHABLE = (501, Severity.WARNING, "a call to another host failed")
    FOLLOWING = (502, Severity.INFO, "another host relays the configuration")
    FOLLOWING_LOST = (503, Severity.WARNING, "a relaying host sends no more updates")
    READING_STARTED = (504, Severity.INFO, "the host started to read the service")
    READING_STOPPED = (505, Severity.INFO, "the host stopped reading the service")
    PEER_MESSAGE_REFUSED = (506, Severity.WARNING, "another host's message is invalid")
    QUARANTINED = (510, Severity.WARNING, "a request that crashes searchers is refused")

    def __init__(self, number: int, severity: Severity, meaning: str):
        self.number = number
        self.severity = severity
        self.meaning = meaning
