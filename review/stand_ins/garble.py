"""The disruption `garble`: a share of the searchers spoils some of its answers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from stand_ins.searcher import Reply, Searcher

# It may come more than once; seconds since the start of traffic.
STARTS = (2.0, 9.0, 16.0)
PLAY_SECONDS = 23.0

# Returns what to send in place of an answer, and what to send before the next one.
Spoil = Callable[[Reply, bool], tuple[bytes, bytes]]


@dataclass(frozen=True)
class Dose:
    """Largest dose of a variant in the site file.

    Parameters
    ----------
    searchers, answers : float
        Share of the searchers, and share of their answers.
    seconds : float
        Length each time.
    """

    searchers: float
    answers: float
    seconds: float


# `garble` with `how = "extra late"`, and without a variant.
EXTRA_LATE = Dose(searchers=0.6, answers=0.03, seconds=5.0)
SPOILED = Dose(searchers=0.35, answers=0.02, seconds=5.5)


def garble(
    searchers: list[Searcher],
    generator: random.Random,
    elapsed: Callable[[], float],
    dose: Dose,
    spoil: Spoil,
) -> None:
    """Let searchers spoil answers at the times of the disruption.

    Parameters
    ----------
    searchers : list of Searcher
        All searchers.
    generator : random.Random
        Source of randomness.
    elapsed : callable
        Returns the seconds since the start of traffic.
    dose : Dose
        How many searchers and answers, and for how long.
    spoil : callable
        Spoils an answer.
    """

    def spoil_some(reply: Reply, has_run: bool) -> tuple[bytes, bytes]:
        now = elapsed()
        is_on = any(start <= now < start + dose.seconds for start in STARTS)
        if is_on and generator.random() < dose.answers:
            return spoil(reply, has_run)
        return reply.render(), b""

    for searcher in generator.sample(searchers, int(dose.searchers * len(searchers))):
        searcher.spoil = spoil_some
