"""Merges the events of several processes into one timeline."""

from collections.abc import Iterable

from foxtailseam.timeline._events import Event


def merge_events(event_lists: Iterable[Iterable[Event]]) -> tuple[Event, ...]:
    """Return all events in the order of hybrid time.

    Parameters
    ----------
    event_lists : iterable of iterable of Event
        Events of each process, in any order.

    Returns
    -------
    tuple of Event
        The events; those with the same time are ordered by host and process.
    """
    events = [event for event_list in event_lists for event in event_list]
    events.sort(key=lambda event: (event.stamp, event.host, event.process))
    return tuple(events)
