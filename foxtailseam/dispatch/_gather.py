"""A query over all shards of an index version."""

from collections.abc import Callable
from dataclasses import dataclass

from foxtailseam.dispatch._call import CallPlan, ServiceCall
from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._partial import PartialDecision, Progress, decide
from foxtailseam.dispatch._placement import place
from foxtailseam.dispatch._query import LINGER, NotAnswered, Query, QueryTimes
from foxtailseam.dispatch._results import (
    FailureReason,
    ServiceAnswer,
    ServiceFailure,
    ServiceResult,
)
from foxtailseam.dispatch._searcher import Searcher
from foxtailseam.outcomes import merge_records
from foxtailseam.routing import AllShards

# Least time between two looks at shards that may need a hedge, in seconds.
HEDGE_RECHECK = 0.005
_FIRST_FAILURE_STATUS = 300


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """An answer from all or some shards.

    Parameters
    ----------
    stamps : tuple of bytes
        Digests of the parts.
    missing : int
        Shards that are left out.
    records : bytes
        The greatest records, falling.
    """

    stamps: tuple[bytes, ...]
    missing: int
    records: bytes


GatherResult = MergedAnswer | NotAnswered


class GatherQuery(Query):
    """Asks every shard, hedges, and answers by the latency goal.

    Parameters
    ----------
    dispatcher : Dispatcher
        The searchers.
    plans : tuple of CallPlan
        The call to each shard.
    destination : AllShards
        The shards, and how many a success needs.
    times : QueryTimes
        When to answer.
    on_result : callable
        Gets the `GatherResult`, once, unless the query is cancelled before.
    on_survived : callable or None
        Set if the query is suspected of crashing searchers: one shard is asked
        alone first, and this is called once it has answered.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        plans: tuple[CallPlan, ...],
        destination: AllShards,
        times: QueryTimes,
        on_result: Callable[[GatherResult], None],
        on_survived: Callable[[], None] | None = None,
    ):
        super().__init__(dispatcher, times)
        self.plans = plans
        self.destination = destination
        self.on_result = on_result
        self.on_survived = on_survived
        self._calls: list[ServiceCall] = []
        # Asked only if the query cannot do without.
        self._deferred: list[ServiceCall] = []
        self._waiting: set[ServiceCall] = set()
        self._hedged: set[ServiceCall] = set()
        self._parts: dict[str, ServiceAnswer] = {}
        self._part_times: list[float] = []
        self._asked_at = 0.0
        self._failures: list[ServiceFailure] = []
        self._missed_goal = False
        self._is_over = False

    @property
    def included(self) -> int:
        """Return how many shards have a part."""
        return len(self._parts)

    def start(self) -> None:
        """Ask every shard; refuse at once if too few can be asked in time."""
        refusal = self._refusal(self.plans, self.destination.least_shards)
        if refusal is not None:
            self._is_over = True
            self.on_result(refusal)
            return
        self._calls = [
            ServiceCall(self.dispatcher, plan, self._on_call, self._is_harmless)
            for plan in self.plans
        ]
        for call in self._calls:
            call.on_held = self._settle
        chosen = self._place_calls()
        self._asked_at = self._now()
        self._at(self.times.goal_at, self._on_goal)
        self._at(self.times.late_answer_at, self._settle)
        self._at(self.times.deadline_at, self._settle)
        asked = list(chosen)
        alone = 1 if self.on_survived is not None else len(asked)
        self._first, self._rest = asked[0], asked[alone:]
        for call in asked[:alone]:
            if not self._is_over:
                call.start(chosen[call])
        if not self._is_over:
            self._at(self._asked_at + self._calls[0].least_hedge_delay(), self._hedge)

    def cancel(self) -> None:
        """Give up: the caller has left."""
        self._end()
        for call in self._calls:
            call.cancel()

    @property
    def time_to_quorum(self) -> float:
        """Return the seconds within which enough shards for a success answered.

        A few slow or paused searchers don't move it; a queue at all does.
        """
        last = self.destination.least_shards - 1
        if last < len(self._part_times):
            return self._part_times[last]
        return self._now() - self._asked_at

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have begun to run the request."""
        return any(call.may_have_run for call in self._calls)

    def describe(self) -> str:
        """Return what was tried for each shard that has no part."""
        return " ".join(
            _describe(call)
            for call in self._calls
            if call.plan.service not in self._parts
        )

    def _place_calls(self) -> dict[ServiceCall, Searcher | None]:
        """Return the calls to start now, with the best searcher of each."""
        found = [call.prospect() for call in self._calls]
        is_chosen = place(
            [prospect for prospect, _ in found],
            self.times.goal_at - self._now(),
            len(self._calls) - self.destination.least_shards,
            [self.dispatcher.generator.random() for _ in self._calls],
        )
        chosen = {}
        for call, is_asked, (_, searcher) in zip(
            self._calls, is_chosen, found, strict=True
        ):
            if is_asked:
                chosen[call] = searcher
            else:
                self._deferred.append(call)
        self._waiting = set(chosen)
        return chosen

    def _start_deferred(self, most: int) -> None:
        """Ask up to `most` of the shards that were left out at first."""
        calls, self._deferred = self._deferred[:most], self._deferred[most:]
        self._waiting.update(calls)
        self._start_calls(calls)

    def _start_calls(self, calls: list[ServiceCall]) -> None:
        for call in calls:
            if not self._is_over:
                call.start()

    def _is_harmless(self) -> bool:
        """Return whether some searcher has answered the query."""
        return bool(self._parts)

    def _may_ask_more(self) -> bool:
        """Return whether nothing suggests that the query crashes searchers."""
        is_suspect = self.on_survived is not None
        lost = is_suspect or any(call.is_held for call in self._waiting)
        return self._is_harmless() or not lost

    def _first_part(self) -> None:
        """Go on with what waited for the evidence that the query is harmless."""
        if self.on_survived is not None:
            self.on_survived()
            self._start_calls(self._rest)
        for call in list(self._waiting):
            call.resume()

    def _hedge(self) -> None:
        """Ask second searchers where that is due; come back when more are."""
        now = self._now()
        next_at = self.times.late_answer_at
        # One that missed its goal waits until then for more parts.
        useful_until = (
            self.times.late_answer_at if self._missed_goal else self.times.goal_at
        )
        for call in self._waiting - self._hedged:
            due_at = call.hedge_at(self.times.goal_at)
            # A query that crashes searchers must not take the second ones, too.
            if due_at <= now and self._is_harmless() and call.hedge(useful_until):
                self.hedges += 1
                self._hedged.add(call)
            else:
                next_at = min(next_at, max(due_at, now + HEDGE_RECHECK))
        if next_at < self.times.late_answer_at:
            self._at(next_at, self._hedge)

    def _on_goal(self) -> None:
        self._settle()
        self._missed_goal = not self._is_over
        if self._missed_goal:
            self.late_shards = " ".join(map(_describe, self._waiting))

    def _on_call(self, call: ServiceCall, result: ServiceResult) -> None:
        self._waiting.discard(call)
        match result:
            case ServiceAnswer(stamp=stamp, response=response):
                if response.status < _FIRST_FAILURE_STATUS and stamp:
                    self._parts[call.plan.service] = result
                    now = self._now()
                    self._part_times.append(now - self._asked_at)
                    if len(self._parts) == 1 and not self._is_over:
                        self._first_part()
                else:
                    failure = ServiceFailure(FailureReason.ERROR, True, response)
                    self._failures.append(failure)
            case ServiceFailure():
                self._failures.append(result)
        if not self._is_over:
            self._settle()

    def _waits_on(self) -> bool:
        """Return whether there is plainly nothing to decide yet."""
        return (
            bool(self._parts and self._waiting)
            and len(self._parts) + len(self._waiting) >= self.destination.least_shards
            and self._now() < self.times.goal_at
        )

    def _settle(self) -> None:
        if self._is_over or self._waits_on():
            return
        lacking = self.destination.least_shards - len(self._parts) - self._pending()
        if lacking > 0 and self._deferred and self._may_ask_more():
            self._start_deferred(lacking)
            if self._is_over:
                return
        times = self.times
        progress = Progress(
            total=len(self.plans),
            included=len(self._parts),
            pending=self._pending(),
            least=self.destination.least_shards,
            now=self._now(),
            goal_at=times.goal_at,
            goal_limit_at=times.goal_limit_at,
            late_answer_at=times.late_answer_at,
            deadline_at=times.deadline_at,
        )
        match decide(progress, self._missed_goal):
            case PartialDecision.ANSWER:
                self._answer()
            case PartialDecision.FAIL:
                self._fail()
            case PartialDecision.WAIT:
                pass

    def _pending(self) -> int:
        if self._parts:
            return len(self._waiting)
        if self.on_survived is not None:
            # The first shard decides for all.
            is_open = self._first in self._waiting and not self._first.is_held
            return len(self._waiting) if is_open else 0
        # One that isn't held may answer, and the held ones go on then.
        is_open = any(not call.is_held for call in self._waiting)
        return len(self._waiting) if is_open else 0

    def _answer(self) -> None:
        parts = list(self._parts.values())
        merged = MergedAnswer(
            tuple(part.stamp for part in parts),
            len(self.plans) - len(parts),
            merge_records((part.response.body for part in parts), self.destination.top),
        )
        self._conclude(merged)

    def _fail(self) -> None:
        reasons = [failure.reason for failure in self._failures]
        reason = max(set(reasons), key=reasons.count, default=FailureReason.LOST)
        if self._now() >= self.times.deadline_at:
            reason = FailureReason.DEADLINE
        self._conclude(NotAnswered(reason, self.may_have_run))
        # What is still out would only keep searchers from other queries.
        self._end_calls()

    def _conclude(self, result: GatherResult) -> None:
        self._end()
        if any(call.is_running for call in self._calls):
            self.dispatcher.timers.call_later(LINGER, self._end_calls)
        for call in (*self._waiting, *self._deferred):
            if not call.is_running:
                call.cancel()
        self.on_result(result)

    def _end(self) -> None:
        self._is_over = True
        self._cancel_timers()

    def _end_calls(self) -> None:
        for call in self._calls:
            call.cancel()


def _describe(call: ServiceCall) -> str:
    return f"{call.plan.service}[{call.record.describe()}]"
