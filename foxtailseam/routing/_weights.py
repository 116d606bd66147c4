"""Distributes requests over the services of a route by weight."""

import random

from foxtailseam.routing._model import WeightedServices


class WeightedRoundRobin:
    """Smooth weighted round robin with a random start.

    After any number of requests, each service has received its share to within two
    requests. The random start keeps hosts that start together from sending their
    first requests to the same service.

    Parameters
    ----------
    destination : WeightedServices
        Services and their weights.
    generator : random.Random
        Source of the random start.
    """

    def __init__(self, destination: WeightedServices, generator: random.Random):
        self.destination = destination
        self._total = sum(weight for _, weight in destination.weights)
        self._credits = {
            service: generator.random() * weight
            for service, weight in destination.weights
        }

    def next(self) -> str | None:
        """Return the service for the next request; None if no weight is above 0."""
        if self._total <= 0:
            return None
        for service, weight in self.destination.weights:
            self._credits[service] += weight
        chosen = max(
            (service for service, weight in self.destination.weights if weight > 0),
            key=self._credits.__getitem__,
        )
        self._credits[chosen] -= self._total
        return chosen
