"""Tests of searchers' states, budgets, latency windows and slots."""

import asyncio
from datetime import timedelta

import pytest

from foxtailseam.clocks import HybridClock, ManualClock
from foxtailseam.searchers import (
    LatencyWindow,
    LeavingSearchers,
    RateLimiter,
    RatioBudget,
    Searcher,
    SearcherController,
    SearcherEvent,
    SearcherState,
    SearcherStateMachine,
)
from foxtailseam.searchers._slots import SlotQueue, choose_free_searcher
from foxtailseam.searchers._state import TRANSITIONS
from foxtailseam.timeline import Recorder

FAST = timedelta(milliseconds=10)
SLOW = timedelta(milliseconds=200)


@pytest.fixture
def clock():
    return ManualClock()


def new_searcher(clock, number=1):
    return Searcher(f"127.0.0.1:{number}", 2, 25, clock)


class TestSearcherStateMachine:
    def test_a_leaving_searcher_returns_only_after_a_health_check(self, clock):
        machine = SearcherStateMachine(clock)
        machine.apply(SearcherEvent.DRAIN_SIGNAL)
        clock.advance(timedelta(hours=1))
        machine.apply(SearcherEvent.ANSWERED)
        assert machine.state is SearcherState.LEAVING
        assert machine.is_due_for_health_check
        machine.apply(SearcherEvent.HEALTH_READY)
        assert machine.state is SearcherState.PROBING

    def test_no_health_check_is_due_soon_after_a_drain_signal(self, clock):
        machine = SearcherStateMachine(clock)
        machine.apply(SearcherEvent.DRAIN_SIGNAL)
        clock.advance(timedelta(seconds=10))
        assert not machine.is_due_for_health_check

    def test_an_ejected_searcher_is_probed_after_the_ejection_time(self, clock):
        machine = SearcherStateMachine(clock)
        machine.apply(SearcherEvent.UNREACHABLE)
        assert machine.state is SearcherState.EJECTED
        clock.advance(timedelta(seconds=1))
        assert machine.state is SearcherState.PROBING
        machine.apply(SearcherEvent.ANSWERED)
        assert machine.state is SearcherState.READY

    def test_only_an_answer_or_the_end_of_warmup_leads_to_ready(self):
        events = {event for (_, event), end in TRANSITIONS.items() if end == "ready"}
        assert events == {SearcherEvent.ANSWERED, SearcherEvent.WARMED}

    @pytest.mark.parametrize("state", list(SearcherState))
    @pytest.mark.parametrize(
        "event", [SearcherEvent.DRAIN_SIGNAL, SearcherEvent.LISTED_LEAVING]
    )
    def test_any_state_changes_to_leaving(self, state, event):
        assert TRANSITIONS[(state, event)] is SearcherState.LEAVING


class TestSearcher:
    def test_a_new_incarnation_warms_up(self, clock):
        searcher = new_searcher(clock)
        searcher.record_answer(FAST, "a")
        searcher.record_answer(FAST, "b")
        assert searcher.state is SearcherState.WARMING
        assert searcher.limit == 1
        for _ in range(20):
            searcher.record_answer(FAST, "b")
        assert searcher.state is SearcherState.READY

    def test_a_missing_version_is_remembered_for_a_while(self, clock):
        searcher = new_searcher(clock)
        searcher.record_missing_version(7)
        assert not searcher.holds_version(7)
        assert searcher.holds_version(8)
        clock.advance(timedelta(seconds=1))
        assert searcher.holds_version(7)


class TestSearcherController:
    def test_not_more_than_half_are_ejected_for_failures(self, clock):
        recorder = Recorder("h", "p", "0", clock, HybridClock(clock))
        leaving = LeavingSearchers(clock)
        controller = SearcherController(clock, recorder, leaving, lambda: None)
        searchers = [
            controller.get_or_create(f"127.0.0.1:{n}", 2, 25) for n in range(1, 7)
        ]
        for _ in range(10):
            for searcher in searchers:
                controller.record_failure(searcher)
        states = [searcher.state for searcher in searchers]
        assert states.count(SearcherState.EJECTED) == 3


class TestLeavingSearchers:
    def test_notices_of_one_process_apply_in_another(self, clock):
        first, second = LeavingSearchers(clock), LeavingSearchers(clock)
        assert first.add("127.0.0.1:1")
        assert not first.add("127.0.0.1:1")
        assert second.merge(first.notices())
        assert not second.merge(first.notices())
        assert second.searchers == ("127.0.0.1:1",)

    def test_processes_do_not_extend_each_others_notices(self, clock):
        first, second = LeavingSearchers(clock), LeavingSearchers(clock)
        first.add("127.0.0.1:1")
        for _ in range(20):
            second.merge(first.notices())
            first.merge(second.notices())
            clock.advance(timedelta(seconds=1))
        assert first.searchers == second.searchers == ()


class TestChooseFreeSearcher:
    def test_a_straggler_is_skipped_except_for_a_probe(self, clock):
        fast, slow = new_searcher(clock, 1), new_searcher(clock, 2)
        for searcher, latency in ((fast, FAST), (slow, SLOW)):
            searcher.record_answer(latency, "a")
            searcher.acquire_slot()
        assert choose_free_searcher((fast, slow)) is fast
        fast.acquire_slot()
        assert choose_free_searcher((fast, slow)) is None
        clock.advance(timedelta(seconds=2))
        assert choose_free_searcher((fast, slow)) is slow

    def test_a_searcher_that_sheds_is_chosen_last(self, clock):
        good, shedding = new_searcher(clock, 1), new_searcher(clock, 2)
        for searcher in (good, shedding):
            searcher.acquire_slot()
            searcher.release_slot()
        shedding.record_shed()
        assert choose_free_searcher((shedding, good)) is good


class TestSlotQueue:
    def test_higher_priority_then_earlier_deadline_is_served_first(self, clock):
        served = asyncio.run(self._serve(clock, [(0, 9.0), (0, 5.0), (3, 9.0)]))
        assert served == [(3, 9.0), (0, 5.0), (0, 9.0)]

    async def _serve(self, clock, waiters):
        queue, searcher = SlotQueue(clock), new_searcher(clock)
        for _ in range(searcher.limit):
            queue.try_acquire((searcher,))
        served = []

        async def wait(priority, deadline):
            await queue.acquire((searcher,), priority, deadline)
            served.append((priority, deadline))

        tasks = [asyncio.create_task(wait(*waiter)) for waiter in waiters]
        await asyncio.sleep(0)
        for _ in waiters:
            queue.release(searcher)
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        return served

    def test_can_meet_deadline_estimates_the_latency(self, clock):
        queue, searcher = SlotQueue(clock), new_searcher(clock)
        searcher.record_answer(SLOW, "a")
        assert queue.can_meet_deadline((searcher,), clock.monotonic() + 0.5)
        assert not queue.can_meet_deadline((searcher,), clock.monotonic() + 0.25)


class TestBudgets:
    def test_extra_requests_are_limited_to_a_ratio(self):
        budget = RatioBudget(burst=1.0)
        assert budget.withdraw()
        for _ in range(19):
            budget.deposit(0.05)
        assert not budget.withdraw()
        budget.deposit(0.0501)
        assert budget.withdraw()

    def test_events_are_limited_to_a_rate(self, clock):
        limiter = RateLimiter(2.0, 1.0, clock)
        assert limiter.withdraw()
        assert not limiter.withdraw()
        clock.advance(timedelta(milliseconds=500))
        assert limiter.withdraw()


class TestLatencyWindow:
    def test_a_quantile_needs_samples_and_drops_old_ones(self, clock):
        window = LatencyWindow(clock)
        assert window.quantile(0.5) is None
        for _ in range(30):
            window.record(FAST)
        clock.advance(timedelta(seconds=1))
        assert abs(window.quantile(0.5) - FAST) < timedelta(milliseconds=2)
        for _ in range(2):
            clock.advance(timedelta(seconds=11))
            for _ in range(30):
                window.record(SLOW)
        clock.advance(timedelta(seconds=1))
        assert abs(window.quantile(0.5) - SLOW) < timedelta(milliseconds=20)
