"""Tests of the spillover shares of one host, with a manual clock."""

import random
from dataclasses import dataclass
from datetime import timedelta

import pytest

from foxtailseam.clocks import ManualClock
from foxtailseam.locality import (
    CROSS_DOMAIN_COST_SECONDS,
    LocalityDecision,
    SpilloverNotice,
)

HOME, AWAY = "d1", "d2"
CALM, BUSY = 0.03, 0.09


@dataclass(frozen=True)
class Host:
    failure_domain: str


class Replay:
    """Feeds a decision with the answers of one service after another window."""

    def __init__(self, failure_domain=HOME):
        self.clock = ManualClock()
        self.decision = LocalityDecision(self.clock, failure_domain, random.Random(1))
        self.changes = []
        self.decision.on_change = lambda *change: self.changes.append(change)

    @property
    def share(self):
        return self.decision.shares.get("s")

    def windows(self, count, home, away, left=10, stayed=10, service="s"):
        for _ in range(count):
            answers = self.decision.answers
            answers.extend([(service, HOME, home)] * stayed)
            answers.extend([(service, AWAY, away)] * left)
            self.clock.advance(timedelta(seconds=0.5))
            self.decision.update()

    def contend(self, service="s"):
        self.windows(5, CALM, CALM, left=0, service=service)
        self.windows(2, BUSY, BUSY, service=service)


class TestCalm:
    def test_the_constant_holds_and_nothing_is_sent(self):
        replay = Replay()
        replay.windows(40, CALM, CALM, left=1)
        costs = replay.decision.distance_costs("s")
        assert (costs[HOME], costs[AWAY]) == (0.0, CROSS_DOMAIN_COST_SECONDS)
        assert replay.decision.notices() == ()

    def test_a_degraded_home_searcher_keeps_no_share(self):
        # All requests of a shard leave its slow searcher; a share would hold some back.
        replay = Replay()
        replay.windows(5, CALM, CALM, left=0)
        replay.windows(20, 12 * CALM, CALM, left=15, stayed=5)
        assert replay.share is None

    def test_few_answers_decide_nothing(self):
        replay = Replay()
        replay.windows(40, BUSY, BUSY, left=1, stayed=1)
        assert replay.share is None


class TestContention:
    def test_the_share_begins_with_the_part_that_left(self):
        replay = Replay()
        replay.contend()
        assert replay.share == 0.5
        assert replay.changes == [("s", 0.5)]

    def test_one_window_is_not_enough(self):
        replay = Replay()
        replay.windows(5, CALM, CALM, left=0)
        replay.windows(1, BUSY, BUSY)
        replay.windows(1, CALM, CALM)
        assert replay.share is None

    def test_requests_leave_in_proportion_to_the_share(self):
        replay = Replay()
        replay.contend()
        costs = [replay.decision.distance_costs("s") for _ in range(1000)]
        left = sum(item[AWAY] < item[HOME] for item in costs)
        assert 450 < left < 550

    def test_the_others_stay_whatever_the_queue(self):
        replay = Replay()
        replay.contend()
        costs = [replay.decision.distance_costs("s") for _ in range(100)]
        assert all(abs(item[AWAY] - item[HOME]) > 20 for item in costs)

    def test_other_services_keep_the_constant(self):
        replay = Replay()
        replay.contend()
        assert replay.decision.distance_costs("t")[AWAY] == CROSS_DOMAIN_COST_SECONDS

    def test_both_full_hardly_exchange_load(self):
        replay = Replay()
        replay.contend()
        replay.windows(60, BUSY, BUSY, left=3)
        assert replay.share < 0.05

    def test_traffic_returns_as_home_is_quick_again(self):
        replay = Replay()
        replay.contend()
        replay.windows(20, CALM, CALM)
        assert replay.share is None
        assert replay.changes[-1] == ("s", None)

    def test_a_share_without_answers_expires(self):
        replay = Replay()
        replay.contend()
        replay.clock.advance(timedelta(seconds=6))
        replay.decision.update()
        assert replay.share is None

    def test_hedges_leave_by_the_same_part_unless_the_first_searcher_stalls(self):
        replay = Replay()
        replay.contend()
        may_hedge = replay.decision.may_hedge
        left = sum(may_hedge("s", AWAY, False) for _ in range(1000))
        assert 450 < left < 550
        assert all(may_hedge("s", AWAY, True) for _ in range(100))
        assert all(may_hedge("s", HOME, False) for _ in range(100))
        assert all(may_hedge("t", AWAY, False) for _ in range(100))

    def test_services_that_the_configuration_lacks_are_forgotten(self):
        replay = Replay()
        replay.contend()
        replay.decision.retain(["t"])
        assert replay.share is None
        assert replay.changes[-1] == ("s", None)


class TestGossip:
    def test_a_host_begins_with_the_share_of_its_domain(self):
        replay = Replay()
        replay.windows(1, CALM, CALM, left=0)
        replay.decision.merge(Host(HOME), (SpilloverNotice("s", 0.3, 50.0, 100),))
        assert replay.share == 0.3
        # It rests on no answer of its own, so it is not passed on.
        assert replay.decision.notices() == ()

    def test_hosts_of_a_domain_agree(self):
        replays = [Replay(), Replay()]
        for replay, part in zip(replays, (5, 15), strict=True):
            replay.windows(5, CALM, CALM, left=0)
            replay.windows(2, BUSY, BUSY, left=part)
        first, second = (replay.decision for replay in replays)
        apart = abs(replays[0].share - replays[1].share)
        for _ in range(5):
            first.merge(Host(HOME), second.notices())
            second.merge(Host(HOME), first.notices())
        assert abs(replays[0].share - replays[1].share) < 0.1 * apart

    @pytest.mark.parametrize(
        ("domain", "service", "age_ms", "weight"),
        [
            (AWAY, "s", 0, 50.0),
            (HOME, "unknown", 0, 50.0),
            (HOME, "s", 9_000, 50.0),
            (HOME, "s", 0, 0.0),
            (HOME, "s", 0, float("nan")),
        ],
    )
    def test_what_does_not_apply_is_ignored(self, domain, service, age_ms, weight):
        replay = Replay()
        replay.windows(1, CALM, CALM, left=0)
        notice = SpilloverNotice(service, 0.3, weight, age_ms)
        replay.decision.merge(Host(domain), (notice,))
        assert not replay.decision.shares

    def test_the_16_shares_that_rest_on_the_most_answers_are_sent(self):
        replay = Replay()
        names = [f"s{number:02}" for number in range(20)]
        for seconds, left in [(CALM, 0)] * 5 + [(BUSY, 1)] * 2:
            for number, name in enumerate(names):
                stayed = [(name, HOME, seconds)] * (10 + number)
                replay.decision.answers.extend(stayed)
                replay.decision.answers.extend([(name, AWAY, seconds)] * 10 * left)
            replay.clock.advance(timedelta(seconds=0.5))
            replay.decision.update()
        assert len(replay.decision.shares) == 20
        sent = [notice.service for notice in replay.decision.notices()]
        assert sorted(sent) == names[4:]
