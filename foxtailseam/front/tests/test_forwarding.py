"""Tests of which requests of other hosts a host accepts, in virtual time."""

import pytest

from foxtailseam.forwarding import ForwardedRequest, Unavailability
from foxtailseam.front._forwarding import MAX_ACCEPTED
from foxtailseam_bench.simulation import LinkFault, simulated_hosts, simulated_service

VERSION = 1


def message(number=0, version=VERSION, body=b"", target=b"/urgent/q"):
    headers = (
        (b"Host", b"a.example"),
        (b"Foxtailseam-Request-Id", b"%016x" % number),
        (b"Foxtailseam-Deadline-Ms", b"1200"),
    )
    return ForwardedRequest(
        "host-1", "d2", b"GET", target, headers, body, 1.0, 6.0, version, 2
    )


@pytest.fixture
def tier():
    with simulated_hosts(1, 0.011, 92) as tiers:
        yield tiers[0]


@pytest.fixture
def responses():
    return []


class TestAccept:
    def reason(self, tier, request):
        responses = []
        tier.front.serve_forwarded(request, responses.append)
        return responses[0].unavailable if responses else None

    def test_a_request_is_served_and_never_forwarded_again(self, tier, responses):
        tier.front.serve_forwarded(message(), responses.append)
        tier.time.run_until(1.0)
        assert responses[0].status == 200

    def test_a_host_that_stops_declines(self, tier):
        tier.front.peers.is_stopping = True
        assert self.reason(tier, message()) is Unavailability.STOPPING

    def test_a_host_with_an_older_configuration_declines(self, tier):
        request = message(version=VERSION + 1)
        assert self.reason(tier, request) is Unavailability.OUTDATED

    def test_a_host_that_is_cut_declines(self, tier):
        tier.link.fault = LinkFault.SILENT
        tier.time.run_until(3.0)
        assert self.reason(tier, message()) is Unavailability.ISOLATED

    def test_a_host_that_finds_out_that_it_is_cut_gives_requests_back(
        self, tier, responses
    ):
        tier.front.serve_forwarded(message(), lambda response: None)
        tier.time.run_until(0.3)
        tier.link.fault = LinkFault.SILENT
        tier.front.serve_forwarded(message(1), responses.append)
        tier.time.run_until(0.8)
        assert responses[0].unavailable is Unavailability.ISOLATED
        assert responses[0].attempts_run == 1

    def test_the_number_of_requests_at_a_time_is_limited(self, responses):
        with simulated_service(1, MAX_ACCEPTED, 1.0, 500) as (tier,):
            cancels = [
                tier.front.serve_forwarded(
                    message(number, target=b"/read/x"), responses.append
                )
                for number in range(MAX_ACCEPTED)
            ]
            request = message(MAX_ACCEPTED, target=b"/read/x")
            assert self.reason(tier, request) is Unavailability.BUSY
            for cancel in cancels:
                cancel()
            assert self.reason(tier, request) is not Unavailability.BUSY

    def test_the_bytes_of_bodies_are_limited(self, tier):
        tier.front.peers.max_body_bytes = 100
        assert self.reason(tier, message(body=b"x" * 101)) is Unavailability.BUSY
