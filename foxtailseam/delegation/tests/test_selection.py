"""Tests of the choice of a coordinator."""

import random

import pytest

from foxtailseam.delegation import CoordinatorSelector
from foxtailseam.forwarding import PeerHost, PeerSelector, Unavailability
from foxtailseam_bench.simulation import VirtualTime

SLOW, FAST = 3_000, 20_000


@pytest.fixture
def time():
    return VirtualTime()


def selector(time, hosts, own_rate=SLOW):
    peers = PeerSelector(time, random.Random(1), "d1")
    return CoordinatorSelector(peers, own_rate, hosts)


class TestCoordinatorSelector:
    def test_faster_hosts_of_the_failure_domain_share_the_queries(self, time):
        hosts = (
            PeerHost("slow:1", "d1", SLOW),
            PeerHost("fast:1", "d1", FAST),
            PeerHost("fast:2", "d1", FAST),
            PeerHost("far:1", "d2", FAST),
            PeerHost("old:1", "d1"),
        )
        chosen = selector(time, lambda: hosts)
        addresses = {chosen.choose(90).address for _ in range(50)}
        assert addresses == {"fast:1", "fast:2"}

    @pytest.mark.parametrize("own_rate", [FAST, 0])
    def test_a_host_that_is_fast_or_unknown_serves_its_queries(self, time, own_rate):
        hosts = (PeerHost("fast:1", "d1", FAST),)
        assert selector(time, lambda: hosts, own_rate).choose(90) is None

    def test_a_query_of_few_shards_stays(self, time):
        hosts = (PeerHost("fast:1", "d1", FAST),)
        chosen = selector(time, lambda: hosts)
        assert chosen.choose(10) is None
        assert chosen.choose(90) is not None

    def test_a_change_of_the_hosts_is_noticed(self, time):
        hosts = [(PeerHost("fast:1", "d1", FAST),)]
        chosen = selector(time, lambda: hosts[0])
        assert chosen.choose(90).address == "fast:1"
        hosts[0] = (PeerHost("fast:2", "d1", FAST),)
        assert chosen.choose(90).address == "fast:2"
        hosts[0] = ()
        assert chosen.choose(90) is None

    def test_a_host_that_gave_no_answer_is_left_out_for_a_while(self, time):
        host = PeerHost("fast:1", "d1", FAST)
        hosts = (host,)
        chosen = selector(time, lambda: hosts)
        chosen.selector.avoid(host, Unavailability.LOST)
        assert chosen.choose(90) is None
        time.run_until(1.1)
        assert chosen.choose(90) is host
