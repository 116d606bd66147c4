"""Admission control: adaptive limits on the requests in flight for each family."""

from foxtailseam.admission._controller import AdmissionController
from foxtailseam.admission._throttle import AdaptiveThrottle

__all__ = ["AdaptiveThrottle", "AdmissionController"]
