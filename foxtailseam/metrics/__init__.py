"""Counters and latency histograms, and their text format."""

from foxtailseam.metrics._registry import Metrics

__all__ = ["Metrics"]
