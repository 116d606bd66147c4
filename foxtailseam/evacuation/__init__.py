"""Failure domains whose searchers get no requests by the operator's order."""

from foxtailseam.evacuation._orders import EvacuationOrders, KeptOrder

__all__ = ["EvacuationOrders", "KeptOrder"]
