"""Counters, gauges and latency histograms in the Prometheus text format."""

from foxtailseam.metrics._registry import PREFIX, Metrics

__all__ = ["PREFIX", "Metrics"]
