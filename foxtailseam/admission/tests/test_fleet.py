"""Tests of the shares that all hosts agree on."""

import math
from datetime import timedelta

import pytest

from foxtailseam.admission import AdmissionNotice, DomainDemand, FleetAdmission
from foxtailseam.clocks import ManualClock
from foxtailseam.fleet import HostRecord

GROUP = "shard0"


def record(number):
    return HostRecord(f"10.0.0.{number}:80", "d1", 1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def sizes():
    return {"d1": 2, "d2": 2, "d3": 2}


@pytest.fixture
def admission(clock, sizes):
    admission = FleetAdmission(clock)
    admission.failure_domain = "d1"
    admission.domain_sizes = lambda: sizes
    return admission


def report(admission, share=0.2, senders=(1, 2, 3)):
    for number in senders:
        admission.merge(record(number), (AdmissionNotice(GROUP, share, 10.0),))


def run(admission, clock, delays, interval=0.5):
    for delay in delays:
        clock.advance(timedelta(seconds=interval))
        admission.count_arrival(GROUP, 0)
        admission.record(GROUP, delay)


class TestCalmLoad:
    """Guards against refusals and messages without an overload."""

    def test_single_late_requests_send_nothing(self, admission, clock):
        for _ in range(20):
            run(admission, clock, [0.0, 0.0, math.inf])
            assert admission.notices() == ()
            assert admission.share(GROUP) is None

    def test_own_late_requests_alone_do_not_make_a_joint_share(self, admission, clock):
        run(admission, clock, [math.inf] * 10)
        assert admission.notices()
        assert admission.share(GROUP) is None

    def test_two_other_hosts_do_not_make_a_joint_share(self, admission):
        report(admission, senders=(1, 2, 1))
        assert admission.share(GROUP) is None

    def test_reports_of_no_overload_are_ignored(self, admission):
        report(admission, share=0.9)
        assert admission.share(GROUP) is None


class TestJointShare:
    def test_a_host_without_requests_adopts_it(self, admission):
        report(admission, senders=(1, 2, 3, 4))
        assert admission.share(GROUP) < 0.25

    def test_one_report_does_not_replace_much_evidence(self, admission, clock):
        report(admission, share=0.8, senders=(2, 3, 4))
        run(admission, clock, [0.9] * 40, interval=0.05)
        report(admission, share=0.02, senders=(1,))
        assert admission.share(GROUP) > 0.5

    def test_late_requests_lower_it_at_the_same_pace_at_any_rate(self, sizes):
        shares = []
        for interval in (0.05, 0.5):
            clock = ManualClock()
            admission = FleetAdmission(clock)
            admission.domain_sizes = lambda: sizes
            report(admission, share=0.8)
            run(admission, clock, [1.0], interval)
            run(admission, clock, [math.inf] * round(1 / interval), interval)
            shares.append(admission.share(GROUP))
        assert shares[0] == pytest.approx(shares[1], rel=0.2)

    def test_it_rises_without_requests(self, admission, clock):
        report(admission)
        before = admission.share(GROUP)
        clock.advance(timedelta(seconds=3))
        assert admission.share(GROUP) > before


class TestFallback:
    """Guards against a decision by figures that are old or of a part of the fleet."""

    def test_old_reports_do_not_count(self, admission, clock):
        report(admission)
        clock.advance(timedelta(seconds=4.1))
        assert admission.share(GROUP) is None

    def test_a_host_cut_off_from_half_of_the_others_decides_alone(
        self, admission, sizes
    ):
        report(admission)
        assert admission.share(GROUP) is not None
        sizes.update({"d2": 1, "d3": 0})
        report(admission)
        assert admission.share(GROUP) is None

    def test_after_a_minute_the_smaller_fleet_is_the_whole(
        self, admission, clock, sizes
    ):
        report(admission)
        admission.share(GROUP)
        sizes.update({"d2": 1, "d3": 0})
        clock.advance(timedelta(seconds=61))
        report(admission)
        assert admission.share(GROUP) is not None


class TestForeignNotices:
    """Guards against numbers of other hosts that spoil the share of all."""

    NAN = float("nan")

    @pytest.mark.parametrize(
        "notice",
        [
            AdmissionNotice(GROUP, NAN, 10.0),
            AdmissionNotice(GROUP, 0.2, NAN),
            AdmissionNotice(GROUP, 0.2, 10.0, (DomainDemand("d2", (NAN,), 0),)),
        ],
        ids=["share", "evidence", "demand"],
    )
    def test_no_number_that_is_none_is_kept_or_passed_on(self, admission, notice):
        for number in (1, 2, 3):
            admission.merge(record(number), (notice,))
        report(admission)
        share = admission.admitted_share(GROUP, 0)
        assert 0.0 < share <= 1.0
        (sent,) = admission.notices()
        assert sent.share == sent.share
        assert sent.evidence == sent.evidence
        assert all(rate >= 0 for demand in sent.demands for rate in demand.rates)

    def test_evidence_of_one_host_is_bounded(self, admission, clock):
        run(admission, clock, [0.0] * 20)
        admission.merge(record(1), (AdmissionNotice(GROUP, 0.02, 1e9),))
        report(admission, 0.8, senders=(2, 3))
        assert admission.share(GROUP) > 0.02


class TestNotices:
    """Guards against messages and memory without bound."""

    def test_groups_that_others_name_are_bounded_and_forgotten(self, admission, clock):
        for start in range(0, 4096, 16):
            names = range(start, start + 16)
            notices = tuple(AdmissionNotice(f"s{n}", 0.2, 1.0) for n in names)
            admission.merge(record(1), notices)
        assert len(admission._groups) == 1024
        clock.advance(timedelta(seconds=61))
        admission.notices()
        assert admission._groups == {}

    def test_a_message_is_bounded(self, admission, clock):
        for number in range(40):
            for _ in range(5):
                clock.advance(timedelta(seconds=0.01))
                admission.count_arrival(f"shard{number}", 0)
                admission.record(f"shard{number}", math.inf)
            admission._state(f"shard{number}").share = 0.5
        assert len(admission.notices()) == 16

    def test_only_the_first_notices_of_a_message_are_merged(self, admission):
        notices = tuple(AdmissionNotice(f"s{n}", 0.2, 1.0) for n in range(100))
        admission.merge(record(1), notices)
        admission.merge(record(2), notices)
        admission.merge(record(3), notices)
        assert len(admission.joint_shares()) == 16
