"""Divides requests over the services of a route by their weights."""

import random

from foxtailseam.routing._model import WeightedServices


class WeightedRoundRobin:
    """Smooth weighted round robin with a random start.

    After any number of requests each service is within one request of its
    share. The random start keeps many hosts from all starting alike.

    Parameters
    ----------
    destination : WeightedServices
        Services and weights.
    generator : random.Random
        Source of the start.
    """

    def __init__(self, destination: WeightedServices, generator: random.Random):
        self.destination = destination
        self._total = sum(weight for _, weight in destination.parts)
        self._credits = {
            service: generator.random() * weight
            for service, weight in destination.parts
        }

    def next(self) -> str | None:
        """Return the service of the next request; None if no weight is above 0."""
        if self._total <= 0:
            return None
        for service, weight in self.destination.parts:
            self._credits[service] += weight
        chosen = max(
            (service for service, weight in self.destination.parts if weight > 0),
            key=self._credits.__getitem__,
        )
        self._credits[chosen] -= self._total
        return chosen
