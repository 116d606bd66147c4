"""Events recorded by processes, and their merged timeline."""

from foxtailseam.timeline._events import Event
from foxtailseam.timeline._merge import merge_events
from foxtailseam.timeline._recorder import Recorder

__all__ = ["Event", "Recorder", "merge_events"]
