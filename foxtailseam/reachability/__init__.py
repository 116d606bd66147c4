"""Whether this host reaches searchers at all, apart from the health of each one."""

from foxtailseam.reachability._contacts import ContactTracker

__all__ = ["ContactTracker"]
