"""A query that is sent to all shards of an index version."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from foxtailseam.dispatch._attempts import CallPlan
from foxtailseam.dispatch._call import ServiceCall
from foxtailseam.dispatch._decision import QueryDecision, QueryProgress, decide_query
from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._query import GRACE_SECONDS, NotAnswered, Query, QueryTimes
from foxtailseam.dispatch._results import (
    FailureReason,
    ServiceAnswer,
    ServiceFailure,
    ServiceResult,
)
from foxtailseam.dispatch._searcher import Searcher
from foxtailseam.dispatch._shard_selection import select_shards
from foxtailseam.dispatch._slowness_detector import PartTiming
from foxtailseam.outcomes import TopRecords
from foxtailseam.reachability import MIN_SILENCE_SECONDS
from foxtailseam.routing import AllShards

# Minimum interval between two checks for shards that need a hedge, in seconds.
HEDGE_RECHECK_INTERVAL = 0.005
_FIRST_FAILURE_STATUS = 300
# Outcomes of attempts whose time tells how fast their searcher is.
_TIMED_OUTCOMES = frozenset({"", "200"})


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """Answer merged from the parts of all or some shards.

    Parameters
    ----------
    stamps : tuple of bytes
        Digests of the included parts, as sent by the searchers.
    missing : int
        Number of shards without a part.
    records : bytes
        Greatest records of all parts, in descending order.
    """

    stamps: tuple[bytes, ...]
    missing: int
    records: bytes


GatherResult = MergedAnswer | NotAnswered


@dataclass(frozen=True, slots=True)
class SendingStatistics:
    """How long a query's first attempts took to be written, for the request log.

    Parameters
    ----------
    started : float
        Seconds from the arrival of the request until the first call was started.
    written : float
        Seconds from the arrival until the last first attempt was written.
    unwritten : int
        Number of first attempts that were not written, such as those whose
        connection was not open in time.
    connections : int
        Number of connections that the first attempts had to open.
    """

    started: float
    written: float
    unwritten: int
    connections: int


class GatherQuery(Query):
    """Query to all shards, with hedges, that answers by the latency goal.

    Parameters
    ----------
    dispatcher : Dispatcher
        Shared state of the host's requests.
    plans : tuple of CallPlan
        Request to each shard.
    destination : AllShards
        Shards of the query and the number that a success must include.
    times : QueryTimes
        Times at which the query must be answered.
    on_result : callable
        Called once with the `GatherResult`, unless the query is cancelled first.
    on_survived : callable or None
        Set if the query is suspected of crashing searchers. The query is then sent
        to a single shard first, and this is called after the first answer.
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
        self._min_shards = destination.min_shards
        self.on_result = on_result
        self.on_survived = on_survived
        self._calls: list[ServiceCall] = []
        # Calls that start only if the query cannot succeed without them.
        self._deferred: list[ServiceCall] = []
        # Calls selected or started that have no result yet, in the order of starting.
        self._waiting: dict[ServiceCall, None] = {}
        self._hedged: set[ServiceCall] = set()
        # Digest of the part of each service; the parts themselves are not kept.
        self._stamps: dict[str, bytes] = {}
        self._top_records = TopRecords(destination.top_k)
        self._part_times: list[float] = []
        self._started_at = times.started_at
        self._failure_reasons: list[FailureReason] = []
        self._missed_goal = False
        self._is_at_goal = False
        self._is_starting_deferred = False
        self._is_over = False

    @property
    def included(self) -> int:
        """Return the number of shards that have delivered a part."""
        return len(self._stamps)

    def start(self) -> None:
        """Start the calls, or refuse if too few shards can be reached in time."""
        refusal = self._refusal(self.plans, self._min_shards)
        if refusal is not None:
            self._is_over = True
            self.on_result(refusal)
            return
        now = self._now()
        self._calls = [
            ServiceCall(
                self.dispatcher, plan, now, self._on_call_result, self._is_proven_safe
            )
            for plan in self.plans
        ]
        for call in self._calls:
            call.on_held = self._evaluate
        searcher_by_call = self._select_calls()
        self._started_at = self._now()
        self._call_at(self.times.goal_at, self._on_goal)
        self._call_at(self.times.late_answer_at, self._evaluate)
        self._call_at(self.times.deadline_at, self._evaluate)
        selected = list(searcher_by_call)
        initial_count = 1 if self.on_survived is not None else len(selected)
        self._first_call, self._other_calls = selected[0], selected[initial_count:]
        for call in selected[:initial_count]:
            if not self._is_over:
                call.start(searcher_by_call[call])
        if not self._is_over:
            self._call_at(
                self._started_at + self._calls[0].min_hedge_delay(), self._hedge
            )

    def cancel(self) -> None:
        """Cancel the query because its caller disconnected; no result is reported."""
        self._stop()
        for call in self._calls:
            call.cancel()

    def allow_attempts(self, attempts: int) -> None:
        """Set the largest number of searchers that each shard's call may be sent to."""
        for call in self._calls:
            call.max_attempts = attempts

    @property
    def time_to_quorum(self) -> float | None:
        """Return the seconds until as many shards answered as a success needs.

        None if fewer have answered. A few slow or paused searchers do not affect the
        value, but queues at all shards do.
        """
        return self._time_to(self._min_shards)

    @property
    def time_to_half(self) -> float | None:
        """Return the seconds until half of the shards answered; None if fewer have.

        Many slow or paused searchers do not affect the value, but queues at most
        shards do.
        """
        return self._time_to(len(self.plans) // 2)

    def _time_to(self, shards: int) -> float | None:
        last = max(1, shards) - 1
        return self._part_times[last] if last < len(self._part_times) else None

    @property
    def is_answered_at_goal(self) -> bool:
        """Return whether the result being reported was due when the goal passed."""
        return self._is_at_goal

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have started to run the request."""
        return any(call.may_have_run for call in self._calls)

    @property
    def attempts_run(self) -> int:
        """Return the largest number of searchers of a shard that may have run it."""
        return max((call.attempts_run for call in self._calls), default=0)

    def needs_other_host(self, is_isolated: bool) -> bool:
        """Return whether too few shards can answer over the links that are left.

        Parameters
        ----------
        is_isolated : bool
            Whether open connections do not work either.
        """
        reachable = len(self._stamps)
        if not is_isolated:
            reachable += sum([call.may_have_run for call in self._waiting])
        return reachable < self._min_shards

    @property
    def sending(self) -> SendingStatistics | None:
        """Return how long the first attempts took to be written; None without any."""
        firsts = [
            call.record.attempts[0] for call in self._calls if call.record.attempts
        ]
        if not firsts:
            return None
        written = [item.written_at for item in firsts if item.written_at is not None]
        arrived_at = self.times.started_at
        return SendingStatistics(
            started=self._started_at - arrived_at,
            written=max(written, default=arrived_at) - arrived_at,
            unwritten=len(firsts) - len(written),
            connections=sum([item.opens_connection for item in firsts]),
        )

    @property
    def denied(self) -> int:
        """Return the number of shards to which the budget denied a hedge or retry."""
        return sum([call.was_denied for call in self._calls])

    @property
    def missing_causes(self) -> Counter[str]:
        """Return the number of shards without a part by cause.

        The cause is the reason of the failure, ``deferred`` if the shard was not
        asked, or else ``pending``.
        """
        causes = Counter(reason.value for reason in self._failure_reasons)
        causes["deferred"] = len(self._deferred)
        missing = len(self.plans) - len(self._stamps)
        causes["pending"] = missing - causes.total()
        return +causes

    def describe(self) -> str:
        """Return the attempts at each shard without a part, for the request log."""
        return " ".join(
            _describe(call)
            for call in self._calls
            if call.plan.service not in self._stamps
        )

    def _select_calls(self) -> dict[ServiceCall, Searcher | None]:
        """Return the calls to start now, each with its best searcher, if any."""
        now = self._now()
        estimates = [call.estimate(now) for call in self._calls]
        selection = select_shards(
            [estimate for estimate, _ in estimates],
            self.times.goal_at - now,
            len(self._calls) - self._min_shards,
            [self.dispatcher.generator.random() for _ in self._calls],
        )
        searcher_by_call = {}
        for call, is_selected, (_, searcher) in zip(
            self._calls, selection, estimates, strict=True
        ):
            if is_selected:
                searcher_by_call[call] = searcher
            else:
                self._deferred.append(call)
        self._waiting = dict.fromkeys(searcher_by_call)
        return searcher_by_call

    def _start_needed(self) -> None:
        """Start deferred calls until as many can answer as a success needs.

        A call can fail at once; the next ones are then started here, not from within
        its result.
        """
        self._is_starting_deferred = True
        try:
            while self._deferred and self._may_start_more():
                lacking = self._min_shards - len(self._stamps) - self._pending_count()
                if lacking <= 0:
                    return
                self._start_deferred(lacking)
        finally:
            self._is_starting_deferred = False

    def _start_deferred(self, max_calls: int) -> None:
        """Start up to `max_calls` of the deferred calls."""
        calls, self._deferred = self._deferred[:max_calls], self._deferred[max_calls:]
        self._waiting.update(dict.fromkeys(calls))
        self._start_calls(calls)

    def _start_calls(self, calls: list[ServiceCall]) -> None:
        for call in calls:
            if not self._is_over:
                call.start()

    def _is_proven_safe(self) -> bool:
        """Return whether a searcher has answered the query without crashing."""
        return bool(self._stamps)

    def _may_start_more(self) -> bool:
        """Return whether further calls are unlikely to crash more searchers."""
        is_suspect = self.on_survived is not None
        may_crash = is_suspect or any(call.is_held for call in self._waiting)
        return self._is_proven_safe() or not may_crash

    def _on_first_part(self) -> None:
        """Start or resume the calls that waited until a searcher survived the query."""
        if self.on_survived is not None:
            self.on_survived()
            self._start_calls(self._other_calls)
        for call in list(self._waiting):
            call.resume()

    def _hedge(self) -> None:
        """Send the hedges that are due and schedule the next check."""
        now = self._now()
        if not self._stamps:
            self._report_silence(now)
        next_at = self.times.late_answer_at
        # A query that missed its goal waits for more parts until `late_answer_at`.
        useful_until = (
            self.times.late_answer_at if self._missed_goal else self.times.goal_at
        )
        min_delay = self._calls[0].min_hedge_delay()
        # A copy, since a hedge may end its call.
        unhedged = [call for call in self._waiting if call not in self._hedged]
        for call in unhedged:
            due_at = call.last_sent_at + min_delay
            if due_at > now:
                next_at = min(next_at, max(due_at, now + HEDGE_RECHECK_INTERVAL))
                continue
            due_at = call.hedge_at(self.times.goal_at)
            # Until a searcher has answered, a hedge could crash another searcher.
            if due_at <= now and self._is_proven_safe() and call.hedge(useful_until):
                self.hedges += 1
                self._hedged.add(call)
            else:
                next_at = min(next_at, max(due_at, now + HEDGE_RECHECK_INTERVAL))
        if next_at < self.times.late_answer_at:
            self._call_at(next_at, self._hedge)

    def _report_silence(self, now: float) -> None:
        if self.dispatcher.contacts.age >= MIN_SILENCE_SECONDS:
            for call in self._waiting:
                call.record_silence(now)

    def _on_goal(self) -> None:
        self._is_at_goal = True
        self._evaluate()
        self._is_at_goal = False
        self._missed_goal = not self._is_over
        if self._missed_goal:
            self.late_shards = " ".join(map(_describe, self._waiting))

    def _on_call_result(self, call: ServiceCall, result: ServiceResult) -> None:
        now = self._now()
        self._waiting.pop(call, None)
        match result:
            case ServiceAnswer(stamp=stamp, response=response):
                if response.status < _FIRST_FAILURE_STATUS and stamp:
                    self._stamps[call.plan.service] = stamp
                    if not self._is_over:
                        self._top_records.add(response.body)
                    self._part_times.append(now - self._started_at)
                    if len(self._stamps) == 1 and not self._is_over:
                        self._on_first_part()
                else:
                    self._failure_reasons.append(FailureReason.ERROR)
            case ServiceFailure(reason=reason):
                self._failure_reasons.append(reason)
        if not self._is_over and not self._must_wait(now):
            self._evaluate()

    def _must_wait(self, now: float) -> bool:
        """Return whether the query certainly has to wait for more answers."""
        return (
            bool(self._stamps and self._waiting)
            and len(self._stamps) + len(self._waiting) >= self._min_shards
            and now < self.times.goal_at
        )

    def _evaluate(self) -> None:
        if self._is_over or self._is_starting_deferred:
            return
        self._start_needed()
        if self._is_over:
            return
        times = self.times
        progress = QueryProgress(
            total=len(self.plans),
            included=len(self._stamps),
            pending=self._pending_count(),
            min_included=self._min_shards,
            now=self._now(),
            goal_at=times.goal_at,
            goal_limit_at=times.goal_limit_at,
            late_answer_at=times.late_answer_at,
            deadline_at=times.deadline_at,
        )
        match decide_query(progress, self._missed_goal):
            case QueryDecision.ANSWER:
                self._answer()
            case QueryDecision.FAIL:
                self._fail()
            case QueryDecision.WAIT:
                pass

    def _pending_count(self) -> int:
        if self._stamps:
            return len(self._waiting)
        if self.on_survived is not None:
            # The other calls start only after the first shard has answered.
            can_progress = (
                self._first_call in self._waiting and not self._first_call.is_held
            )
            return len(self._waiting) if can_progress else 0
        # An answer to a call that is not held resumes the held calls.
        can_progress = any(not call.is_held for call in self._waiting)
        return len(self._waiting) if can_progress else 0

    def _answer(self) -> None:
        stamps = tuple(self._stamps.values())
        merged = MergedAnswer(
            stamps,
            len(self.plans) - len(stamps),
            self._top_records.join(),
        )
        self._finish(merged)

    def _fail(self) -> None:
        reasons = self._failure_reasons
        reason = max(
            dict.fromkeys(reasons), key=reasons.count, default=FailureReason.LOST
        )
        if self._now() >= self.times.deadline_at:
            reason = FailureReason.DEADLINE
        self._finish(NotAnswered(reason, self.may_have_run))
        # Further answers are useless and would only occupy searchers.
        self._cancel_calls()

    def _finish(self, result: GatherResult) -> None:
        self._stop()
        self.dispatcher.gates.record_part_timings(self._part_timings())
        for call in (*self._waiting, *self._deferred):
            call.close()
        if any(call.is_running for call in self._calls):
            self.dispatcher.timers.call_later(GRACE_SECONDS, self._cancel_calls)
        self.on_result(result)

    def _part_timings(self) -> list[PartTiming]:
        """Return the time that each attempt has taken, as far as it was run."""
        now = self._now()
        return [
            PartTiming(
                attempt.searcher.entry.identifier,
                attempt.searcher.entry.failure_domain,
                (attempt.ended_at or now) - attempt.written_at,
                attempt.ended_at is not None,
            )
            for call in self._calls
            for attempt in call.record.attempts
            if attempt.written_at is not None and attempt.outcome in _TIMED_OUTCOMES
        ]

    def _stop(self) -> None:
        self._is_over = True
        self._cancel_timers()

    def _cancel_calls(self) -> None:
        for call in self._calls:
            call.cancel()


def _describe(call: ServiceCall) -> str:
    return f"{call.plan.service}[{call.record.describe()}]"
