"""Tests of the catalogue of searchers and of its grace period for lapsed ones."""

import time
from dataclasses import replace
from datetime import timedelta

import pytest

from foxtailseam.catalogue import Catalogue, SearcherEntry
from foxtailseam.clocks import ManualClock

ENTRY = SearcherEntry("i-1", "s", "10.0.0.1:80", "d1", 2, False, timedelta(), 100)


class RecordingListener:
    def __init__(self):
        self.calls = []

    def searcher_changed(self, entry):
        self.calls.append(("changed", entry))

    def searcher_lapsed(self, identifier, is_lapsed):
        self.calls.append(("lapsed" if is_lapsed else "back", identifier))

    def searcher_removed(self, identifier):
        self.calls.append(("removed", identifier))


def catalogue():
    clock, listener = ManualClock(), RecordingListener()
    return Catalogue(clock, listener), clock, listener.calls


class TestCatalogue:
    def test_an_unchanged_entry_is_not_reported(self):
        subject, _, calls = catalogue()
        subject.upsert(ENTRY)
        subject.upsert(ENTRY)
        assert calls == [("changed", ENTRY)]

    def test_a_searcher_that_is_cold_again_for_the_same_time_is_reported(self):
        subject, _, calls = catalogue()
        cold = replace(ENTRY, warmup=timedelta(seconds=5), sequence=1)
        again = replace(cold, sequence=2)
        for entry in (cold, cold, again, again):
            subject.upsert(entry)
        assert calls == [("changed", cold), ("changed", again)]

    def test_a_missing_entry_lapses_at_once_and_is_removed_after_the_grace_period(self):
        subject, clock, calls = catalogue()
        subject.upsert(ENTRY)
        subject.mark_missing("i-1")
        assert calls[-1] == ("lapsed", "i-1")
        clock.advance(timedelta(seconds=0.5))
        subject.remove_expired()
        assert calls[-1] == ("removed", "i-1")
        assert subject.entries == ()

    def test_a_missing_entry_of_a_draining_searcher_is_removed_at_once(self):
        subject, _, calls = catalogue()
        subject.upsert(replace(ENTRY, is_draining=True))
        subject.mark_missing("i-1")
        assert calls[-1] == ("removed", "i-1")
        assert subject.entries == ()

    @pytest.mark.parametrize(("lapses", "kept"), [(1, 0), (2, 0), (3, 3), (9, 9)])
    def test_entries_that_lapse_together_get_the_outage_grace_period(
        self, lapses, kept
    ):
        # The outage of the service was too short for a call to fail.
        subject, clock, calls = catalogue()
        for number in range(lapses):
            address = f"10.0.0.{number}:80"
            subject.upsert(replace(ENTRY, identifier=f"i-{number}", address=address))
        for number in range(lapses):
            subject.mark_missing(f"i-{number}")
            clock.advance(timedelta(seconds=0.05))
        clock.advance(timedelta(seconds=1.4))
        subject.remove_expired()
        assert len(subject.entries) == kept
        clock.advance(timedelta(seconds=0.6))
        subject.remove_expired()
        assert subject.entries == ()

    def test_a_repeated_removal_does_not_extend_the_grace_period(self):
        subject, clock, calls = catalogue()
        subject.upsert(ENTRY)
        subject.mark_missing("i-1")
        clock.advance(timedelta(seconds=0.4))
        subject.mark_missing("i-1")
        clock.advance(timedelta(seconds=0.1))
        subject.remove_expired()
        assert calls[-1] == ("removed", "i-1")

    def test_a_lapsed_entry_is_kept_until_the_grace_period_ends(self):
        subject, clock, calls = catalogue()
        subject.upsert(ENTRY)
        subject.service_recovered()
        subject.mark_missing("i-1")
        clock.advance(timedelta(seconds=1.9))
        subject.remove_expired()
        assert subject.lapsed == {"i-1"}
        clock.advance(timedelta(seconds=0.2))
        subject.remove_expired()
        assert calls[-1] == ("removed", "i-1")

    def test_a_lapsed_entry_that_comes_back_is_kept(self):
        subject, clock, calls = catalogue()
        subject.upsert(ENTRY)
        subject.service_recovered()
        subject.mark_missing("i-1")
        subject.upsert(ENTRY)
        clock.advance(timedelta(seconds=9))
        subject.remove_expired()
        assert calls == [("changed", ENTRY), ("lapsed", "i-1"), ("back", "i-1")]

    def test_a_draining_entry_has_no_grace_period(self):
        subject, _, calls = catalogue()
        subject.upsert(replace(ENTRY, is_draining=True))
        subject.service_recovered()
        subject.mark_missing("i-1")
        assert calls[-1] == ("removed", "i-1")

    def test_the_longer_of_two_grace_periods_applies(self):
        subject, clock, _ = catalogue()
        subject.service_recovered()
        subject.extend_grace(timedelta(seconds=1))
        clock.advance(timedelta(seconds=1.5))
        assert 0.4 < subject.remaining_grace < 0.6


class TestRestore:
    """Entries from an older copy of the service's data."""

    def entry(self, **changes):
        return replace(ENTRY, sequence=5, **changes)

    def test_a_drain_binds_until_the_searcher_writes_again(self):
        subject, _, calls = catalogue()
        subject.upsert(self.entry(is_draining=True))
        subject.restore(replace(ENTRY, sequence=4))
        assert subject.entries == (self.entry(is_draining=True),)
        subject.restore(replace(ENTRY, sequence=6))
        assert calls[-1] == ("changed", ENTRY)

    def test_a_removed_searcher_stays_removed_until_it_writes_again(self):
        subject, clock, _ = catalogue()
        subject.upsert(self.entry())
        subject.mark_missing("i-1")
        clock.advance(timedelta(seconds=3))
        subject.remove_expired()
        subject.restore(replace(ENTRY, sequence=5))
        assert subject.entries == ()
        subject.restore(replace(ENTRY, sequence=6))
        assert subject.entries == (ENTRY,)

    def test_another_run_of_a_removed_searcher_is_added(self):
        subject, _, _ = catalogue()
        subject.upsert(self.entry(is_draining=True))
        subject.mark_missing("i-1")
        restarted = replace(ENTRY, started_ms=ENTRY.started_ms + 1, sequence=1)
        subject.restore(restarted)
        assert subject.entries == (restarted,)

    def test_an_unknown_searcher_is_added(self):
        subject, _, _ = catalogue()
        subject.restore(ENTRY)
        assert subject.entries == (ENTRY,)


class TestSharedAddress:
    """An address is used again, or an entry of another writer names it."""

    OTHER = replace(ENTRY, identifier="i-2", service="t")

    @pytest.mark.parametrize("started_ms", [50, 100, 200])
    @pytest.mark.parametrize("is_first", [True, False])
    def test_an_entry_drives_out_no_searcher(self, started_ms, is_first):
        # Requests name the searcher, so that another one at its address rejects them.
        subject, _, calls = catalogue()
        other = replace(self.OTHER, started_ms=started_ms)
        for entry in (other, ENTRY) if is_first else (ENTRY, other):
            subject.upsert(entry)
        subject.upsert(replace(ENTRY, slots=3))
        assert set(subject.entries) == {replace(ENTRY, slots=3), other}
        assert not any(kind == "removed" for kind, _ in calls)

    @pytest.mark.parametrize("is_draining", [True, False])
    def test_a_later_searcher_ends_one_that_drains_or_has_lapsed(self, is_draining):
        subject, _, calls = catalogue()
        later = replace(self.OTHER, started_ms=200)
        subject.upsert(replace(ENTRY, is_draining=is_draining))
        if not is_draining:
            subject.mark_missing("i-1")
        subject.upsert(later)
        assert subject.entries == (later,)
        assert ("removed", "i-1") in calls

    @pytest.mark.parametrize("started_ms", [50, 100])
    def test_one_that_started_no_later_ends_none(self, started_ms):
        subject, _, calls = catalogue()
        subject.upsert(ENTRY)
        subject.mark_missing("i-1")
        subject.upsert(replace(self.OTHER, started_ms=started_ms))
        assert len(subject.entries) == 2
        assert not any(kind == "removed" for kind, _ in calls)

    def test_a_searcher_whose_address_is_used_again_ends_when_its_entry_is_missing(
        self,
    ):
        subject, clock, calls = catalogue()
        later = replace(self.OTHER, started_ms=200)
        subject.upsert(ENTRY)
        subject.upsert(later)
        subject.mark_missing("i-1")
        clock.advance(timedelta(seconds=0.5))
        subject.remove_expired()
        assert subject.entries == (later,)


class TestManyEntries:
    """Another writer leaves many entries; all are applied in one turn of the loop."""

    COUNT = 16_000
    # Share of the processor time after which a host ends as stuck.
    MAX_SECONDS = 2.0

    @pytest.mark.parametrize("addresses", [1, 65_536])
    def test_their_changes_and_removals_take_time_in_proportion(self, addresses):
        subject, _, _ = catalogue()
        entries = [
            replace(
                ENTRY,
                identifier=f"i-{number}",
                address=f"10.0.0.1:{1 + number % addresses}",
            )
            for number in range(self.COUNT)
        ]
        started_at = time.process_time()
        for entry in entries:
            subject.upsert(entry)
        for entry in entries:
            subject.mark_missing(entry.identifier)
        assert time.process_time() - started_at < self.MAX_SECONDS
        assert len(subject.lapsed) == self.COUNT
