"""Load tests of the shares that all hosts admit, in virtual time."""

import pytest

from foxtailseam.front.tests._load import NETWORK_DELAY
from foxtailseam_bench.simulation import simulated_hosts

GOAL = 0.183
# Queries per second that the searchers can serve.
CAPACITY = 133
USUAL_RATE = 90


class Deployment:
    """Hosts whose searchers are overloaded from 3 to 9 s.

    `busy` is the factor on the load of the first failure domain.
    """

    def __init__(
        self,
        hosts,
        rates,
        seed=1,
        busy=1.0,
        prepare=lambda tiers: None,
        usual_rate=USUAL_RATE,
    ):
        self.rates = rates
        options = {"service_seconds": 0.03, "goal_ms": 183, "seed": seed}
        with simulated_hosts(hosts, **options) as tiers:
            self.tiers = tiers
            prepare(tiers)
            factors = [busy if n % 3 == 0 else 1.0 for n in range(hosts)]
            scale = 1 / sum(factors)
            for number, (tier, factor) in enumerate(zip(tiers, factors, strict=True)):
                part = factor * scale
                tier.load("/urgent/q", usual_rate * part, 0.01 * number, 3)
                for path, rate in rates.items():
                    tier.load(path, rate * part, 3 + number / sum(rates.values()), 9)
            tiers[0].time.run_until(13)

    def calls(self, path="", domains=(0, 1, 2)):
        """Return the calls of 5 to 9 s at hosts of some failure domains."""
        return [
            call
            for number, tier in enumerate(self.tiers)
            if number % 3 in domains
            for call in tier.answered(path)
            if 5 < call.sent_at < 9
        ]

    @staticmethod
    def served_share(calls):
        return sum(call.response.status == 200 for call in calls) / len(calls)

    def refused(self):
        """Return the number of calls that were refused, from the start on."""
        calls = [call for tier in self.tiers for call in tier.answered()]
        return sum(call.response.status == 503 for call in calls)

    def goodput(self):
        return (
            sum(
                call.response.status == 200 and call.seconds + NETWORK_DELAY <= GOAL
                for call in self.calls()
            )
            / 4
        )

    def failed_share(self):
        """Return the share of the calls that failed after they had run."""
        calls = self.calls()
        return sum(c.response.status in (502, 504) for c in calls) / len(calls)


def all_of_previous_release(tiers):
    tiers[0].gossip.of_previous_release.update(range(len(tiers)))


def half_of_previous_release(tiers):
    tiers[0].gossip.of_previous_release.update(range(0, len(tiers), 2))


def partition(tiers):
    """Cut the hosts into two halves at 4 s; both hear of the loss of the other."""

    def cut():
        tiers[0].gossip.is_connected = lambda one, other: one % 2 == other % 2

    tiers[0].time.call_later(4, cut)


HOSTS = pytest.mark.parametrize("hosts", [40, 75, 86])


class TestBurst:
    """Guards against hosts of half a query a second that cannot see an overload."""

    @HOSTS
    def test_few_queries_fail_after_running(self, hosts):
        deployment = Deployment(hosts, {"/urgent/q": 2.6 * CAPACITY})
        assert deployment.goodput() > 0.6 * CAPACITY
        assert deployment.failed_share() < 0.01

    def test_more_is_served_than_by_hosts_that_decide_alone(self):
        rates = {"/urgent/q": 3 * CAPACITY}
        alone = Deployment(75, rates, prepare=all_of_previous_release)
        assert Deployment(75, rates).goodput() > alone.goodput()

    def test_a_calm_load_causes_no_refusal_and_no_message(self):
        deployment = Deployment(75, {"/urgent/q": 0.4 * CAPACITY}, usual_rate=60)
        assert deployment.refused() == 0
        assert deployment.tiers[0].gossip.sent_bytes == 0

    @pytest.mark.parametrize("hosts", [40, 75])
    def test_a_usual_load_causes_no_refusal_that_hosts_alone_do_not(self, hosts):
        rates = {"/urgent/q": USUAL_RATE}
        alone = Deployment(hosts, rates, prepare=all_of_previous_release)
        assert Deployment(hosts, rates).refused() <= alone.refused()

    def test_refused_callers_are_spread_over_the_time_the_fleet_needs(self):
        deployment = Deployment(75, {"/urgent/q": 3 * CAPACITY})
        delays = [
            float(dict(call.response.headers)[b"Retry-After"])
            for call in deployment.calls()
            if call.response.status == 503
        ]
        mean = sum(delays) / len(delays)
        assert 1.0 < mean < 6.0
        assert max(delays) > 2 * min(delays)

    def test_refusals_are_immediate(self):
        deployment = Deployment(75, {"/urgent/q": 3 * CAPACITY})
        refused = [c for c in deployment.calls() if c.response.status == 503]
        at_once = [call for call in refused if call.seconds < GOAL / 4]
        assert len(at_once) > 0.95 * len(refused)


class TestFairness:
    """Guards against a kind of request that starves."""

    @HOSTS
    def test_higher_priorities_go_first_without_starvation(self, hosts):
        rates = {"/urgent/q": 1.3 * CAPACITY, "/other/q": 1.3 * CAPACITY}
        deployment = Deployment(hosts, rates)
        urgent, other, both = (
            deployment.served_share(deployment.calls(path))
            for path in ("/urgent", "/other", "")
        )
        assert urgent > 1.5 * other
        assert other >= both / 4

    @HOSTS
    def test_a_domain_with_more_callers_takes_little_from_the_others(self, hosts):
        deployment = Deployment(hosts, {"/urgent/q": 2.6 * CAPACITY}, busy=2.6)
        busy, others, both = (
            deployment.served_share(deployment.calls(domains=domains))
            for domains in ((0,), (1, 2), (0, 1, 2))
        )
        assert others > 1.3 * busy
        assert busy >= both / 4


class TestFailures:
    """Guards against hosts that spend too much without the figures of others."""

    @pytest.mark.parametrize("hosts", [40, 75, 86])
    def test_two_halves_of_a_partition_do_not_both_spend_the_whole(self, hosts):
        rates = {"/urgent/q": 2.6 * CAPACITY}
        parted = Deployment(hosts, rates, prepare=partition)
        alone = Deployment(hosts, rates, prepare=all_of_previous_release)
        assert parted.goodput() >= 0.9 * alone.goodput()
        assert parted.failed_share() <= alone.failed_share() + 0.01

    @pytest.mark.parametrize("hosts", [40, 75, 86])
    def test_hosts_of_the_previous_release_do_no_harm(self, hosts):
        rates = {"/urgent/q": 2.6 * CAPACITY}
        mixed = Deployment(hosts, rates, prepare=half_of_previous_release)
        alone = Deployment(hosts, rates, prepare=all_of_previous_release)
        assert mixed.goodput() >= 0.9 * alone.goodput()
        assert mixed.failed_share() <= alone.failed_share() + 0.01

    def test_a_host_that_starts_during_the_overload_adopts_the_joint_share(self):
        hosts, started, shares = 75, [], []

        def restart(tiers):
            tier = tiers[7].restarted(1000)
            tiers[0].gossip.replace(7, tier.fleet_admission)
            started.append(tier)
            tier.load("/urgent/q", 5, 5, 9)
            tiers[0].time.call_later(3.5, note_share, tier)

        def note_share(tier):
            shares.append(tier.fleet_admission.share("shard0"))

        def prepare(tiers):
            tiers[0].time.call_later(5, restart, tiers)

        deployment = Deployment(hosts, {"/urgent/q": 3 * CAPACITY}, prepare=prepare)
        (tier,) = started
        statuses = [c.response.status for c in tier.answered() if c.sent_at > 7]
        assert statuses.count(503) > len(statuses) / 3
        assert shares[0] < 0.7
        assert deployment.failed_share() < 0.02
