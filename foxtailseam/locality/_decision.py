"""Decides for each request whether it may leave the failure domain of its host."""

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from foxtailseam.clocks import Clock
from foxtailseam.locality._control import EXPIRY_SECONDS, SpilloverControl
from foxtailseam.locality._crossing import (
    DistanceCosts,
    default_costs,
    prefer_local_costs,
    prefer_remote_costs,
)
from foxtailseam.locality._notices import MAX_WEIGHT, SpilloverNotice

# Longest list of notices in a message, and of those believed.
MAX_NOTICES = 16
# Answers kept until the next update; of more, the latest ones.
MAX_ANSWERS = 8192
# Shares that rest on less than this number of recent answers are not told to others.
MIN_WEIGHT = 1.0


class Sender(Protocol):
    """Host that has sent notices."""

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of the host."""


class LocalityDecision:
    """Spillover shares of the services on this host.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    failure_domain : str
        Failure domain of this host.
    generator : random.Random
        Decides which requests leave while a share is kept.
    """

    def __init__(self, clock: Clock, failure_domain: str, generator: random.Random):
        self.clock = clock
        self.failure_domain = failure_domain
        self.generator = generator
        # Called with a service and its share when one begins to be kept, and with None
        # for the share when it ends.
        self.on_change: Callable[[str, float | None], None] = lambda *_: None
        # Service, failure domain of the searcher and response time in seconds, queueing
        # and the way there and back included, of the answers since the last update.
        self.answers: deque[tuple[str, str, float]] = deque(maxlen=MAX_ANSWERS)
        self._controls: dict[str, SpilloverControl] = {}
        # Controls of the services for which a share is kept. For others `default_costs`
        # holds, so that selections need not ask.
        self.kept: dict[str, SpilloverControl] = {}
        self.default_costs = default_costs(failure_domain)
        self._staying_costs = prefer_local_costs(failure_domain)
        self._leaving_costs = prefer_remote_costs(failure_domain)

    @property
    def shares(self) -> Mapping[str, float]:
        """Return the shares that are kept, by service."""
        return {service: control.share for service, control in self.kept.items()}

    def distance_costs(self, service: str) -> DistanceCosts:
        """Return what the next request costs in each failure domain, in seconds.

        Parameters
        ----------
        service : str
            Service of the request.
        """
        control = self.kept.get(service)
        if control is None:
            return self.default_costs
        may_leave = self.generator.random() < control.share
        return self._leaving_costs if may_leave else self._staying_costs

    def may_hedge(self, service: str, failure_domain: str, is_overdue: bool) -> bool:
        """Return whether a hedge may go to a searcher.

        While a share is kept, searchers everywhere have queues, and a hedge that leaves
        lengthens two of them. It is then sent only if a further draw, made at each
        check, falls within the share, or if the first searcher is stalled.

        Parameters
        ----------
        service : str
            Service of the request.
        failure_domain : str
            Failure domain of the searcher.
        is_overdue : bool
            Whether a searcher that already has the request is stalled.
        """
        control = self.kept.get(service)
        if control is None or is_overdue or failure_domain == self.failure_domain:
            return True
        return self.generator.random() < control.share

    def update(self) -> None:
        """Take in the answers since the last update and move the shares.

        To be called a few times a second. The answers are read in one loop without a
        call for each, since a query has one for each shard.
        """
        now = self.clock.monotonic()
        home_domain = self.failure_domain
        controls = self._controls
        changed: dict[str, SpilloverControl] = {}
        for service, failure_domain, seconds in self.answers:
            control = controls.get(service)
            if control is None:
                control = controls[service] = SpilloverControl(now)
            side = control.home if failure_domain == home_domain else control.away
            side.samples.append(seconds)
            changed[service] = control
        self.answers.clear()
        for service, control in changed.items():
            control.update(now)
            self._update_active(service, control)
        for service, control in list(self.kept.items()):
            if control.is_expired(now):
                control.end()
                self._update_active(service, control)

    def retain(self, services: Iterable[str]) -> None:
        """Forget all other services.

        Parameters
        ----------
        services : iterable of str
            Services of the configuration.
        """
        for service in self._controls.keys() - set(services):
            control = self._controls.pop(service)
            control.end()
            self._update_active(service, control)

    def notices(self) -> tuple[SpilloverNotice, ...]:
        """Return the shares that rest on the most answers; empty while all is calm."""
        if not self.kept:
            return ()
        now = self.clock.monotonic()
        items = [
            (control.weight(now), service, control)
            for service, control in self.kept.items()
        ]
        items.sort(key=lambda item: (-item[0], item[1]))
        return tuple(
            SpilloverNotice(
                service,
                round(control.share, 3),
                round(min(MAX_WEIGHT, weight), 1),
                round(1000 * (now - control.updated_at)),
            )
            for weight, service, control in items[:MAX_NOTICES]
            if weight >= MIN_WEIGHT
        )

    def merge(self, sender: Sender, notices: tuple[SpilloverNotice, ...]) -> None:
        """Move the shares towards those of another host.

        Only hosts of the same failure domain have the same home searchers. Services of
        which this host knows nothing are left out: it asks no searcher of theirs.

        Parameters
        ----------
        sender : Sender
            The other host.
        notices : tuple of SpilloverNotice
            Its shares.
        """
        if sender.failure_domain != self.failure_domain:
            return
        now = self.clock.monotonic()
        for notice in notices[:MAX_NOTICES]:
            control = self._controls.get(notice.service)
            # A number may be no number, which the bounds of the type let pass.
            is_valid = 0.0 <= notice.share <= 1.0 and notice.weight > 0.0
            is_recent = notice.age_ms <= 1000 * EXPIRY_SECONDS
            if control is None or not is_valid or not is_recent:
                continue
            control.adopt(notice.share, notice.weight, now)
            self._update_active(notice.service, control)

    def _update_active(self, service: str, control: SpilloverControl) -> None:
        """Update which shares are kept after a change of one control."""
        is_kept = control.share is not None
        if is_kept == (service in self.kept):
            return
        if is_kept:
            self.kept[service] = control
        else:
            del self.kept[service]
        self.on_change(service, control.share)
