"""Applies the operator's orders to evacuate failure domains."""

from collections.abc import Callable

from foxtailseam.catalogue import OUTAGE_GRACE_PERIOD
from foxtailseam.clocks import Clock
from foxtailseam.dispatch import Dispatcher
from foxtailseam.evacuation import EvacuationOrders
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.store import Position

# Time after an order until its domain must be known, in seconds: in a listing the
# orders come before the searchers' entries.
UNKNOWN_DOMAIN_SECONDS = 2.0


class EvacuationManager:
    """Keeps the orders that are in effect and applies them to the dispatcher.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher whose searchers are left out.
    clock : Clock
        Source of monotonic time.
    log : LogWriter
        Log that receives an event for each change.
    known_domains : callable
        Returns the names of the failure domains that are known.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        log: LogWriter,
        known_domains: Callable[[], frozenset[str]],
    ):
        self.dispatcher = dispatcher
        self.clock = clock
        self.log = log
        self.known_domains = known_domains
        self._orders = EvacuationOrders()
        self._keep_until = float("-inf")
        # When to look whether the domain of an order is known.
        self._unchecked: dict[str, float] = {}
        self._reported: set[str] = set()

    @property
    def domains(self) -> frozenset[str]:
        """Return the domains that are evacuated now."""
        return self._orders.domains

    def issue(self, domain: str, position: Position, source: str) -> None:
        """Evacuate a failure domain.

        Parameters
        ----------
        domain : str
            Name of the failure domain.
        position : Position
            Position of the service at which the order was written.
        source : str
            Who sent the order: ``service`` or the address of another host.
        """
        if domain not in self._orders.standing and domain not in self._reported:
            due_at = self.clock.monotonic() + UNKNOWN_DOMAIN_SECONDS
            self._unchecked.setdefault(domain, due_at)
        self._apply(self._orders.issue(domain), position, source)

    def revoke(self, domain: str, position: Position, source: str) -> None:
        """Handle that an order is missing.

        Parameters
        ----------
        domain : str
            Name of the failure domain.
        position : Position
            Position of the service at which the order was missing.
        source : str
            Who says so: ``service`` or the address of another host.
        """
        self._unchecked.pop(domain, None)
        now = self.clock.monotonic()
        orders = self._orders.revoke(domain, now, self._keep_until)
        if orders is not self._orders and domain in orders.domains:
            self.log.write(
                EventCode.EVACUATION_KEPT,
                failure_domain=domain,
                grace_ms=round((self._keep_until - now) * 1000),
                era=position.era,
                revision=position.revision,
                source=source,
            )
        self._apply(orders, position, source)

    def start_era(self) -> None:
        """Handle that the service came back from an older copy of its data.

        Orders that the copy lacks are kept until the operator has written them again.
        """
        now = self.clock.monotonic()
        self._keep_until = now + OUTAGE_GRACE_PERIOD.total_seconds()
        self._orders = self._orders.extend(self._keep_until)

    def check(self) -> None:
        """End the orders whose grace period is over; report unknown domains."""
        if not (self._orders.kept or self._unchecked):
            return
        now = self.clock.monotonic()
        self._apply(self._orders.expire(now), None, "grace period")
        due = [name for name, due_at in self._unchecked.items() if due_at <= now]
        if due:
            known = self.known_domains()
            for name in due:
                del self._unchecked[name]
                if name not in known:
                    self._reported.add(name)
                    self.log.write(EventCode.EVACUATION_UNKNOWN, failure_domain=name)

    def _apply(
        self, orders: EvacuationOrders, position: Position | None, source: str
    ) -> None:
        before, after = self._orders.domains, orders.domains
        self._orders = orders
        if before == after:
            return
        withdrawn = self.dispatcher.set_evacuated(after)
        searchers = self.dispatcher.searchers
        for domain in sorted(before ^ after):
            code = EventCode.EVACUATION_STARTED
            if domain in before:
                code = EventCode.EVACUATION_ENDED
            self.log.write(
                code,
                failure_domain=domain,
                searchers=sum(i.entry.failure_domain == domain for i in searchers),
                withdrawn=withdrawn,
                era=position and position.era,
                revision=position and position.revision,
                source=source,
            )
