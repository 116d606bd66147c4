"""Tests of the membership and of the distribution tree computed from it."""

import math
import random
from collections import Counter
from dataclasses import replace
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.fleet import HostRecord, MemberNews, Membership, compute_position
from foxtailseam.fleet._member import SUSPICION_SECONDS
from foxtailseam.fleet._membership import MAX_NEWS, NEWS_FACTOR
from foxtailseam.utils import MAX_INTEGER, Integer

OWN = HostRecord("10.0.0.1:1", "d1", 100)
OTHER = HostRecord("10.0.0.2:1", "d1", 100, count=5)


def membership():
    clock = ManualClock()
    return Membership(OWN, clock, random.Random(1)), clock


def alive_addresses(subject):
    return {record.address for record in subject.alive}


class TestMembership:
    def test_a_host_with_increasing_heartbeat_stays_alive(self):
        subject, clock = membership()
        for count in range(5, 40):
            subject.merge([replace(OTHER, count=count)])
            clock.advance(timedelta(seconds=3))
            assert OTHER.address in alive_addresses(subject)

    def test_a_suspected_host_is_not_alive_unless_it_refutes_in_time(self):
        for refutes in (False, True):
            subject, clock = membership()
            subject.merge([OTHER])
            subject.merge_news([MemberNews(OTHER, is_suspected=True)])
            clock.advance(timedelta(seconds=SUSPICION_SECONDS - 0.1))
            assert OTHER.address in alive_addresses(subject)
            if refutes:
                subject.merge_news([MemberNews(replace(OTHER, incarnation=1))])
            clock.advance(timedelta(seconds=0.2))
            assert (OTHER.address in alive_addresses(subject)) is refutes

    def test_an_older_suspicion_is_ignored(self):
        subject, clock = membership()
        subject.merge([replace(OTHER, incarnation=3)])
        suspected = replace(OTHER, incarnation=2)
        subject.merge_news([MemberNews(suspected, is_suspected=True)])
        clock.advance(timedelta(seconds=60))
        assert OTHER.address in alive_addresses(subject)

    def test_a_host_that_failed_does_not_come_back_by_an_outdated_record(self):
        subject, clock = membership()
        subject.merge([OTHER])
        subject.merge_news([MemberNews(OTHER, is_suspected=True)])
        for _ in range(8):
            clock.advance(timedelta(seconds=3))
            subject.remove_expired()
            subject.merge([OTHER])
        assert alive_addresses(subject) == {OWN.address}

    def test_a_host_refutes_a_suspicion_of_its_own(self):
        subject, _ = membership()
        before = subject.own_record.incarnation
        subject.merge_news([MemberNews(subject.own_record, is_suspected=True)])
        assert subject.own_record.incarnation == before + 1
        assert MemberNews(subject.own_record) in subject.news()

    def test_news_is_sent_a_bounded_number_of_times_in_bounded_messages(self):
        subject, _ = membership()
        hosts = [replace(OTHER, address=f"10.1.0.{n}:1") for n in range(100)]
        subject.merge_news([MemberNews(host) for host in hosts])
        counts = Counter()
        while news := subject.news():
            assert len(news) <= MAX_NEWS
            counts.update(item.record.address for item in news)
        limit = NEWS_FACTOR * math.ceil(math.log10(102))
        assert set(counts.values()) == {limit}
        assert len(counts) == 100

    def test_a_failed_host_is_alive_again_only_after_a_new_heartbeat(self):
        subject, _ = membership()
        subject.merge([OTHER])
        subject.mark_failed(OTHER.address)
        subject.merge([OTHER])
        assert OTHER.address not in alive_addresses(subject)
        subject.merge([replace(OTHER, count=6)])
        assert OTHER.address in alive_addresses(subject)

    def test_a_restarted_host_supersedes_its_previous_process(self):
        subject, _ = membership()
        subject.merge([replace(OTHER, count=90)])
        assert subject.merge([replace(OTHER, is_leaving=True, count=91)])
        assert OTHER.address not in alive_addresses(subject)
        subject.merge([replace(OTHER, started_ms=200, count=0)])
        assert OTHER.address in alive_addresses(subject)

    def test_records_of_this_host_from_others_are_ignored(self):
        subject, _ = membership()
        before = subject.own_record
        subject.merge([replace(OWN, count=999, is_leaving=True)])
        assert subject.own_record == before

    @given(st.permutations(range(8)))
    def test_the_newest_record_wins_in_any_order(self, order):
        records = [replace(OTHER, count=n, is_leaving=n == 7) for n in range(8)]
        subject, _ = membership()
        for number in order:
            subject.merge([records[number]])
        assert OTHER.address not in alive_addresses(subject)


class TestClockThatWentBack:
    """A host restarts after its clock went back, so its new start seems earlier."""

    def exchange(self, caller, called):
        for sender, receiver in ((caller, called), (called, caller)):
            receiver.mark_reached(sender.own_record)
            receiver.merge_news(sender.news(receiver.digest))

    # Guards against: a restarted host that others leave out while they remember its
    # previous process, since the clock was ahead when that one started.
    @pytest.mark.parametrize("has_left", [True, False], ids=["left", "failed"])
    def test_a_restarted_host_is_alive_after_an_exchange(self, has_left):
        subject, clock = membership()
        previous = replace(OTHER, started_ms=OTHER.started_ms + 8_000, incarnation=1)
        subject.merge([replace(previous, is_leaving=has_left)])
        if not has_left:
            subject.merge_news([MemberNews(previous, is_suspected=True)])
            clock.advance(timedelta(seconds=SUSPICION_SECONDS))
        restarted = Membership(OTHER, clock, random.Random(2))
        self.exchange(restarted, subject)
        self.exchange(restarted, subject)
        assert OTHER.address in alive_addresses(subject)
        assert subject.digest == restarted.digest

    def test_the_greatest_start_that_another_host_can_name_is_survived(self):
        subject, clock = membership()
        subject.merge([replace(OTHER, started_ms=MAX_INTEGER - 2, is_leaving=True)])
        restarted = Membership(OTHER, clock, random.Random(2))
        self.exchange(restarted, subject)
        self.exchange(restarted, subject)
        assert OTHER.address in alive_addresses(subject)
        msgspec.convert(restarted.own_record.started_ms, Integer)


class TestPosition:
    @pytest.mark.parametrize("size", [1, 2, 3, 7, 59, 91, 300])
    def test_every_host_is_connected_to_a_reader(self, size):
        members = [f"10.0.{n // 250}.{n % 250}:1" for n in range(size)]
        positions = {member: compute_position(member, members) for member in members}
        readers = {m for m, position in positions.items() if position.is_reader}
        assert len(readers) == min(2, size)
        children = dict.fromkeys(members, 0)
        for member in members:
            depth, current = 0, member
            while current not in readers:
                current = positions[current].parents[0]
                depth += 1
                assert depth <= 4
            for parent in positions[member].parents:
                children[parent] += 1
        assert max(children.values(), default=0) <= 24

    def test_hosts_that_know_few_others_agree_on_the_seeds(self):
        members = [f"10.0.{n // 250}.{n % 250}:1" for n in range(195)]
        seeds = tuple(members[5:8])
        generator = random.Random(1)
        for member in members:
            known = {*seeds, *generator.sample(members, 20)}
            position = compute_position(member, known, seeds)
            if member not in seeds:
                assert not position.is_reader
            readers = {s for s in seeds if compute_position(s, seeds, seeds).is_reader}
            assert len(readers) == 2

    @pytest.mark.parametrize("size", [4, 7, 59, 300])
    def test_every_host_has_parents_to_tolerate_the_loss_of_one(self, size):
        members = [f"10.0.{n // 250}.{n % 250}:1" for n in range(size)]
        for member in members:
            position = compute_position(member, members)
            assert len(set(position.parents)) == (1 if position.is_reader else 2)
            assert member not in position.parents

    def test_the_tree_below_the_readers_has_no_cycle(self):
        members = [f"10.0.0.{n}:1" for n in range(60)]
        positions = {member: compute_position(member, members) for member in members}

        def depth(member, seen=()):
            assert member not in seen
            if positions[member].is_reader:
                return 1
            parents = positions[member].parents
            return max((depth(p, (*seen, member)) for p in parents), default=0) + 1

        assert max(map(depth, members)) < 12
