"""Decides when a failed background task is begun again."""

import random
from dataclasses import dataclass
from datetime import timedelta

# Jitter shortens a backoff by up to this part.
JITTER_SHARE = 0.4
# Failures in a row above which the backoff no longer depends on their number.
MAX_COUNTED_FAILURES = 16


@dataclass(frozen=True, slots=True)
class RestartSettings:
    """Timing of the restarts of a background task.

    Parameters
    ----------
    initial_backoff, max_backoff : timedelta
        Time from the first failure to the restart, and the longest one. It doubles
        with each further failure.
    stable_time : timedelta
        Time without a failure after which the next one counts as the first.
    """

    initial_backoff: timedelta = timedelta(milliseconds=250)
    max_backoff: timedelta = timedelta(seconds=2)
    stable_time: timedelta = timedelta(seconds=10)


def restart_backoff(
    failures: int, settings: RestartSettings, generator: random.Random
) -> float:
    """Return the seconds from a failure to the restart.

    Parameters
    ----------
    failures : int
        Failures in a row, this one included.
    settings : RestartSettings
        Initial and longest backoff.
    generator : random.Random
        Source of the jitter.
    """
    doublings = min(failures, MAX_COUNTED_FAILURES) - 1
    backoff = min(settings.initial_backoff * 2**doublings, settings.max_backoff)
    return backoff.total_seconds() * generator.uniform(1 - JITTER_SHARE, 1.0)
