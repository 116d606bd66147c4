"""Admission: how many requests of a family may be in flight in one entry."""

from foxtailseam.admission._controller import AdmissionController

__all__ = ["AdmissionController"]
