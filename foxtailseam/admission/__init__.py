"""Admission control: adaptive limits on the requests in flight for each family."""

from foxtailseam.admission._controller import AdmissionController

__all__ = ["AdmissionController"]
