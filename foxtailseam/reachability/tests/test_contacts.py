"""Tests of the contacts with searchers."""

import pytest

from foxtailseam.reachability import ContactTracker
from foxtailseam_bench.simulation import VirtualTime


@pytest.fixture
def time():
    return VirtualTime()


@pytest.fixture
def contacts(time):
    return ContactTracker(time)


class TestContactTracker:
    def test_a_contact_ends_the_count_of_silent_searchers(self, time, contacts):
        contacts.record_silence("a")
        contacts.record_silence("b")
        contacts.record_silence("b")
        assert contacts.silent == 2
        time.run_until(1.0)
        assert contacts.age == 1.0
        contacts.record_response(contacts.clock.monotonic())
        assert (contacts.silent, contacts.age) == (0, 0.0)

    def test_only_an_opened_connection_ends_the_count_of_failed_ones(self, contacts):
        contacts.record_connect_failure("a")
        contacts.record_response(contacts.clock.monotonic())
        assert contacts.unconnectable == 1
        contacts.record_connected()
        assert contacts.unconnectable == 0
