"""Merges the events of many processes into one time line."""

from collections.abc import Iterable

from foxtailseam.timeline._events import Event


def merge_events(rings: Iterable[Iterable[Event]]) -> tuple[Event, ...]:
    """Return all events in hybrid time order; ties by host and process."""
    events = [event for ring in rings for event in ring]
    events.sort(key=lambda event: (event.stamp, event.host, event.process))
    return tuple(events)
