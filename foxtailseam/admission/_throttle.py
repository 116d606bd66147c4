"""Adaptive throttling of a host that runs few requests at a time."""

from foxtailseam.clocks import Clock

# Weight of a new delay in the moving average, half-life of the average in seconds, and
# upper bound of one delay as a multiple of the tolerated one: a single slow request,
# or an old one, does not count as overload.
DELAY_WEIGHT = 0.4
DELAY_HALF_LIFE = 2.0
MAX_DELAY_FACTOR = 2.0
# Factor by which the admitted share falls with each request that ends while the average
# delay is too long, and its lower bound: some requests must still find out whether the
# overload is over.
DECREASE_FACTOR = 0.75
MIN_SHARE = 0.1
# Rise of the admitted share with each other request that ends, and for each second.
INCREASE_PER_REQUEST = 0.05
INCREASE_PER_SECOND = 0.1


class AdaptiveThrottle:
    """Share of the requests that a host admits, adapted to how long they take.

    A limit of the requests in flight cannot bind on a host that has less than one of
    them in flight on average, though all hosts together overload the searchers.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    References
    ----------
    B. Beyer et al. (eds.), "Site Reliability Engineering", O'Reilly, 2016, ch. 21.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._share = 1.0
        # Moving average of the delays, as a multiple of the tolerated one.
        self._delay = 0.0
        self._updated_at = clock.monotonic()

    @property
    def admitted_share(self) -> float:
        """Return the share of requests to admit, from `MIN_SHARE` to 1."""
        elapsed = self.clock.monotonic() - self._updated_at
        return min(1.0, self._share + INCREASE_PER_SECOND * elapsed)

    def record(self, delay: float) -> None:
        """Record the delay of a request that ended, and adapt the admitted share.

        Parameters
        ----------
        delay : float
            Time for which the request was queued, as a multiple of the tolerated one;
            infinite if it was rejected for lack of capacity.
        """
        share = self.admitted_share
        now = self.clock.monotonic()
        decay = 0.5 ** ((now - self._updated_at) / DELAY_HALF_LIFE)
        sample = min(delay, MAX_DELAY_FACTOR)
        self._delay = (1 - DELAY_WEIGHT) * decay * self._delay + DELAY_WEIGHT * sample
        self._updated_at = now
        if self._delay > 1.0:
            self._share = max(MIN_SHARE, share * DECREASE_FACTOR)
        else:
            self._share = min(1.0, share + INCREASE_PER_REQUEST)
