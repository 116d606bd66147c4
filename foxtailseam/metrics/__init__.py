"""Counters, gauges and latency histograms in the Prometheus text format."""

from foxtailseam.metrics._registry import Metrics

__all__ = ["Metrics"]
