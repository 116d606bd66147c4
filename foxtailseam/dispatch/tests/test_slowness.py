"""Tests of who may call a searcher slow, and of what this host does about it."""

import math

import pytest

from foxtailseam.conditions import SlownessEstimate
from foxtailseam.dispatch._slowness import (
    PROBE_SECONDS,
    PROBE_SLOWNESS,
    PROBING_HOSTS,
    RETURN_SECONDS,
    SharedSlowness,
)
from foxtailseam.dispatch._slowness_detector import PartTiming, SlownessDetector
from foxtailseam.rate_limits import HostGroup

USUAL = 0.01


def parts(count, domain="d1", seconds=USUAL):
    return [PartTiming(f"{domain}-{n}", domain, seconds, True) for n in range(count)]


def part(seconds, domain="d1", is_answered=True):
    return PartTiming(f"{domain}-slow", domain, seconds, is_answered)


def reported(measurements):
    return [item.searcher for item in measurements if item.is_slow]


@pytest.fixture
def detector():
    """Detector that has seen some usual queries."""
    detector = SlownessDetector()
    for _ in range(20):
        detector.measure(parts(10) + parts(10, "d2"))
    return detector


class TestDetector:
    def test_a_searcher_that_is_slower_than_the_others_is_reported(self, detector):
        (measurement,) = detector.measure([*parts(10), part(0.1)])
        assert measurement.searcher == "d1-slow"
        assert measurement.factor == pytest.approx(10.0)

    def test_a_part_without_an_answer_counts_with_the_time_so_far(self, detector):
        assert reported(detector.measure([*parts(10), part(0.09, is_answered=False)]))

    # Guards against: a host that is slow itself empties the searchers of requests.
    def test_a_slow_host_reports_no_searcher(self, detector):
        assert detector.measure(parts(20, seconds=0.2)) == ()

    # Guards against: a slow or full link to a failure domain reports all behind it.
    def test_slow_links_to_a_domain_report_no_searcher(self, detector):
        assert detector.measure(parts(10) + parts(10, "d2", 0.1)) == ()

    def test_few_parts_over_slow_links_are_compared_with_the_usual_time(self):
        detector = SlownessDetector()
        for _ in range(50):
            detector.measure(parts(10) + parts(4, "d2", 0.08))
        assert detector.measure([*parts(10), part(0.08, "d2")]) == ()

    # Guards against: a pause of the host in the middle of a query, or a cut, reports
    # the searchers whose answers come after it.
    def test_many_slow_parts_report_no_searcher(self, detector):
        slow = [PartTiming(f"late-{n}", "d1", 0.1, False) for n in range(8)]
        assert detector.measure(parts(10) + slow) == ()

    def test_a_third_of_the_searchers_may_be_reported_at_once(self, detector):
        slow = [PartTiming(f"late-{n}", "d1", 0.1, True) for n in range(5)]
        assert len(reported(detector.measure(parts(10) + slow))) == 5

    def test_a_query_of_few_parts_reports_no_searcher(self, detector):
        assert detector.measure([*parts(2), part(0.1)]) == ()

    def test_a_watched_searcher_that_is_fast_is_cleared(self, detector):
        (measurement,) = detector.measure([*parts(10), part(0.012)], ["d1-slow"])
        assert measurement.searcher == "d1-slow"
        assert not measurement.is_slow

    def test_a_part_without_an_answer_clears_nothing(self, detector):
        pending = part(0.001, is_answered=False)
        assert detector.measure([*parts(10), pending], ["d1-slow"]) == ()


GROUP = frozenset(f"host-{number}" for number in range(73))


def shared(host, estimate, now=0.0):
    return SharedSlowness("i-1", HostGroup(host, GROUP), estimate, now)


def slow_until(seconds, is_confirmed=True):
    return SlownessEstimate(8.0, seconds, -math.inf, ("host-1",), is_confirmed)


class TestSharedSlowness:
    def test_one_hosts_word_changes_preference_only(self):
        item = shared("host-0", slow_until(5.0, is_confirmed=False))
        assert item.apply(1.0, 0.0, 0.5) == 8.0
        assert not item.is_avoided(0.5)

    def test_a_estimate_that_nobody_renews_ends(self):
        item = shared("host-0", slow_until(5.0))
        assert item.is_avoided(0.5)
        assert not item.is_avoided(5.0)
        assert item.apply(1.0, 0.0, 5.0) == 1.0

    def test_few_hosts_probe_and_seldom(self):
        items = [shared(host, slow_until(9.0)) for host in sorted(GROUP)]
        probing = [item for item in items if item.is_probing(PROBE_SECONDS)]
        assert len(probing) == PROBING_HOSTS
        assert probing[0].apply(8.0, 0.0, PROBE_SECONDS) == PROBE_SLOWNESS
        probing[0].take(PROBE_SECONDS)
        assert not probing[0].is_probing(PROBE_SECONDS + 0.5)

    # Guards against: all hosts return at once to a searcher that has recovered.
    def test_hosts_return_one_after_the_other(self):
        cleared = SlownessEstimate(1.0, -math.inf, 10.0, (), False)
        items = [shared(host, cleared, 10.0) for host in sorted(GROUP)]
        returned = [
            sum(item.apply(8.0, 9.0, 10.0 + at) <= 1.0 for item in items)
            for at in (0.05, RETURN_SECONDS / 2, RETURN_SECONDS)
        ]
        assert returned[0] <= 0.1 * len(GROUP)
        assert 0.3 * len(GROUP) <= returned[1] <= 0.7 * len(GROUP)
        assert returned[2] == len(GROUP)
