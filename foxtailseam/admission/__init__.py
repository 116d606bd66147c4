"""Admission control: adaptive limits on the requests in flight for each family."""

from foxtailseam.admission._allocation import MIN_SERVED_FRACTION, allocate
from foxtailseam.admission._controller import AdmissionController
from foxtailseam.admission._fleet import AdmissionNotice, DomainDemand, FleetAdmission
from foxtailseam.admission._throttle import AdaptiveThrottle

__all__ = [
    "MIN_SERVED_FRACTION",
    "AdaptiveThrottle",
    "AdmissionController",
    "AdmissionNotice",
    "DomainDemand",
    "FleetAdmission",
    "allocate",
]
