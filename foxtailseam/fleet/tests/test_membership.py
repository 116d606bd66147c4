"""Tests of the membership and of the distribution tree computed from it."""

import random
from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.fleet import HostRecord, Membership, compute_position

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

    def test_a_host_without_new_heartbeats_is_not_alive(self):
        subject, clock = membership()
        for _ in range(5):
            subject.merge([OTHER])
            clock.advance(timedelta(seconds=3))
        assert alive_addresses(subject) == {OWN.address}

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
        subject.merge([replace(OWN, count=999, is_leaving=True)])
        assert subject.own_record == OWN

    @given(st.permutations(range(8)))
    def test_the_newest_record_wins_in_any_order(self, order):
        records = [replace(OTHER, count=n, is_leaving=n == 7) for n in range(8)]
        subject, _ = membership()
        for number in order:
            subject.merge([records[number]])
        assert OTHER.address not in alive_addresses(subject)


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
