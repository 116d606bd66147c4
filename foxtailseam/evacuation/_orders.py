"""Orders to evacuate failure domains, and how long a missing one is kept."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class KeptOrder:
    """An order that is missing, but stays in effect for a grace period.

    Parameters
    ----------
    domain : str
        Name of the failure domain.
    ends_at : float
        Monotonic time in seconds at which the order ends.
    """

    domain: str
    ends_at: float


@dataclass(frozen=True, slots=True)
class EvacuationOrders:
    """The failure domains that are evacuated.

    Parameters
    ----------
    standing : frozenset of str
        Domains whose order exists.
    kept : tuple of KeptOrder
        Orders that are missing and within their grace period.
    """

    standing: frozenset[str] = frozenset()
    kept: tuple[KeptOrder, ...] = ()

    @property
    def domains(self) -> frozenset[str]:
        """Return the domains that are evacuated now."""
        return self.standing.union(item.domain for item in self.kept)

    def issue(self, domain: str) -> "EvacuationOrders":
        """Return the orders with one for `domain`."""
        return EvacuationOrders(self.standing | {domain}, self._kept_without(domain))

    def revoke(self, domain: str, now: float, keep_until: float) -> "EvacuationOrders":
        """Return the orders without the one for `domain`.

        Parameters
        ----------
        domain : str
            Name of the failure domain.
        now : float
            Current monotonic time in seconds.
        keep_until : float
            Time until which the order stays in effect; in the past for not at all.
        """
        if domain not in self.standing:
            return self
        kept = self.kept
        if keep_until > now:
            kept = (*kept, KeptOrder(domain, keep_until))
        return EvacuationOrders(self.standing - {domain}, kept)

    def expire(self, now: float) -> "EvacuationOrders":
        """Return the orders without those whose grace period has ended.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        kept = tuple(item for item in self.kept if item.ends_at > now)
        return self if len(kept) == len(self.kept) else replace(self, kept=kept)

    def extend(self, keep_until: float) -> "EvacuationOrders":
        """Return the orders with the kept ones in effect until a time at least."""
        kept = tuple(
            replace(item, ends_at=max(item.ends_at, keep_until)) for item in self.kept
        )
        return replace(self, kept=kept)

    def _kept_without(self, domain: str) -> tuple[KeptOrder, ...]:
        return tuple(item for item in self.kept if item.domain != domain)
