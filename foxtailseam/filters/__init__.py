"""Filter chain that callers' requests pass through in an entry process."""

from foxtailseam.filters._admission import AdmissionFilter
from foxtailseam.filters._chain import Filter, FilterChain, Handler
from foxtailseam.filters._policy import PolicyFilter
from foxtailseam.filters._quarantine import QuarantineFilter
from foxtailseam.filters._readiness import ReadinessFilter
from foxtailseam.filters._requests import (
    CallerRequest,
    RequestContext,
    Search,
    SearchResult,
    Submit,
)

__all__ = [
    "AdmissionFilter",
    "CallerRequest",
    "Filter",
    "FilterChain",
    "Handler",
    "PolicyFilter",
    "QuarantineFilter",
    "ReadinessFilter",
    "RequestContext",
    "Search",
    "SearchResult",
    "Submit",
]
