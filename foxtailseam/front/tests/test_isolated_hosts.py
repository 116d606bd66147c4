"""Load tests of hosts that are cut from all searchers."""

import random
from collections import Counter

import pytest

from foxtailseam_bench.simulation import (
    LinkFault,
    simulated_hosts,
    simulated_service,
)

GOAL_MS = 183
CUT_AT = 2.0
# The users count the requests of this time after the start of a cut.
STABLE_SECONDS = 4.0
CUT_SECONDS = 12.0
END = CUT_AT + CUT_SECONDS + 4.0
RATE_PER_HOST = 8.0
# Callers of cut hosts are to be served at least this share as often as the others.
MIN_SERVED_RATIO = 2 / 3
# Number and share of first tries that may fail at the cut hosts.
MAX_FAILURES, MAX_FAILURE_SHARE = 10, 1 / 50


def cut(tiers, fault):
    """Cut the links of hosts for `CUT_SECONDS` from `CUT_AT`."""
    time = tiers[0].time

    def set_fault(value):
        for tier in tiers:
            tier.link.fault = value

    time.call_later(CUT_AT, set_fault, fault)
    time.call_later(CUT_AT + CUT_SECONDS, set_fault, LinkFault.NONE)


def calls_between(tiers, start, end):
    return [
        call for tier in tiers for call in tier.calls if start <= call.sent_at < end
    ]


def is_served(call):
    return call.response is not None and call.response.status == 200


def served_share(calls):
    return sum(map(is_served, calls)) / len(calls)


def check_callers_are_served(tiers, isolated_count, fault, rate):
    """Cut some hosts under a load and check what the callers of all hosts get."""
    isolated, others = tiers[:isolated_count], tiers[isolated_count:]
    cut(isolated, fault)
    for number, tier in enumerate(tiers):
        tier.load("/urgent/", rate, number / len(tiers) / rate, END)
    tiers[0].time.run_until(END + 2.0)
    start, end = CUT_AT + STABLE_SECONDS, CUT_AT + CUT_SECONDS
    counted = calls_between(isolated, start, end)
    failed = sum(not is_served(call) for call in counted)
    reference = served_share(calls_between(others, start, end))
    assert reference > 0.9
    assert failed <= MAX_FAILURES + MAX_FAILURE_SHARE * len(counted)
    assert served_share(counted) >= MIN_SERVED_RATIO * reference


class TestHostsCutFromAllSearchers:
    @pytest.mark.parametrize("fault", [LinkFault.SILENT, LinkFault.RESET])
    def test_their_callers_are_served_like_those_of_the_others(self, fault):
        with simulated_hosts(6, 0.03, GOAL_MS) as tiers:
            check_callers_are_served(tiers, 4, fault, RATE_PER_HOST)

    def test_callers_are_served_where_idle_connections_cannot_be_replaced(self):
        with simulated_hosts(24, 0.03, GOAL_MS) as tiers:
            check_callers_are_served(tiers, 16, LinkFault.REFUSE, 0.3)


class TestAnyCuts:
    """Cuts, lost hosts and returns at random moments, overlapping."""

    HOSTS = 6
    SECONDS = 12.0
    # Route timeout of the simulated service, and time for its refusal to be written.
    MAX_SECONDS = 4.0 + 0.1

    def play(self, tiers, seed):
        time = tiers[0].time
        peers = tiers[0].peers
        generator = random.Random(seed)

        def end_loss(address):
            peers.lost.discard(address)

        def strike():
            number = generator.randrange(self.HOSTS)
            seconds = generator.uniform(0.1, 5.0)
            if generator.random() < 0.3:
                peers.lost.add(f"host-{number}")
                time.call_later(seconds, end_loss, f"host-{number}")
                return
            link = tiers[number].link
            link.fault = generator.choice(list(LinkFault)[1:])
            time.call_later(seconds, setattr, link, "fault", LinkFault.NONE)

        for _ in range(16):
            time.call_later(generator.uniform(0.0, self.SECONDS), strike)
        for number, tier in enumerate(tiers):
            tier.load("/read/", 6.0, number / 40, self.SECONDS)
        time.run_until(self.SECONDS + 2 * self.MAX_SECONDS)
        return [call for tier in tiers for call in tier.calls]

    @pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
    @pytest.mark.parametrize("seed", range(12))
    def test_each_request_gets_one_true_answer_in_time(self, kind, seed):
        with simulated_service(self.HOSTS, 8, 0.09, 350, seed, kind) as tiers:
            calls = self.play(tiers, seed)
            searchers = tiers[0].searchers["records"]
            runs = Counter(run for searcher in searchers for run in searcher.runs)
            for call in calls:
                identifier = call.request.headers[1][1]
                assert call.response is not None
                assert call.seconds <= self.MAX_SECONDS
                if call.response.status == 503:
                    assert not runs[identifier]
                if kind == "non_idempotent":
                    assert runs[identifier] <= 1
            assert sum(map(is_served, calls)) > len(calls) / 2


class TestSilentHelpers:
    def test_requests_are_served_by_a_second_host_within_their_attempts(self):
        with simulated_hosts(3, 0.011, 92) as tiers:
            tier, time = tiers[0], tiers[0].time
            tier.link.fault = LinkFault.SILENT
            time.run_until(3.0)
            tier.peers.silent.add("host-1")
            calls = []
            for _ in range(4):
                calls.append(tier.send("/urgent/q"))
                time.run_until(time.monotonic() + 0.05)
            time.run_until(time.monotonic() + 2.0)
        assert "host-1" in tier.peers.served
        assert [call.response.status for call in calls] == [200] * len(calls)
        for pair in tier.searchers.values():
            arrivals = Counter(name for item in pair for _, name in item.arrivals)
            assert max(arrivals.values()) <= 2
