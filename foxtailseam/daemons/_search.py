"""Runs a search from an entry: fan out over gathers, merge, state the coverage."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from foxtailseam.daemons._node import Node
from foxtailseam.daemons._routing import Router
from foxtailseam.filters import RequestContext
from foxtailseam.hosts import rendezvous_order
from foxtailseam.outcomes import (
    Complete,
    MissingReason,
    Outcome,
    Partial,
    RefusalReason,
    Refused,
    SubAnswer,
    merge_answers,
)
from foxtailseam.rpc import CallError, SearchReply, SearchRequest
from foxtailseam.snapshots import Shard, Snapshot

MAX_ROUNDS = 3
LEAST_REMAINING = timedelta(milliseconds=10)
_NOT_SENT = (MissingReason.SHED, MissingReason.NO_SEARCHER)
_TRY_AGAIN = (MissingReason.UPSTREAM_LOST, MissingReason.GATHER_LOST)


@dataclass(frozen=True)
class _Round:
    """What one round of calls brought."""

    answers: tuple[SubAnswer, ...]
    queue_delay: timedelta
    failed_gathers: frozenset[str]


class SearchHandler:
    """The end of the filter chain for searches.

    Parameters
    ----------
    node : Node
        The process it runs in.
    router : Router
        Picks gathers.
    """

    def __init__(self, node: Node, router: Router):
        self.node = node
        self.router = router

    async def run(self, context: RequestContext) -> Outcome:
        """Return the outcome of a search."""
        snapshot = context.snapshot
        answers = await self._ask(context, snapshot)
        newer = self._newer_snapshot(context, snapshot, answers)
        if newer is not None:
            # One answer never mixes versions, so all shards are asked again.
            snapshot = newer
            answers = await self._ask(context, newer)
        return self._conclude(context, snapshot, answers)

    async def _ask(
        self, context: RequestContext, snapshot: Snapshot
    ) -> dict[str, SubAnswer]:
        shards = {shard.name: shard for shard in snapshot.shards}
        answers = {
            name: SubAnswer(name, lack=MissingReason.GATHER_LOST) for name in shards
        }
        if context.suspect and not await self._survives(context, snapshot, answers):
            return answers
        pending = [shard for shard in shards.values() if answers[shard.name].lack]
        excluded: frozenset[str] = frozenset()
        for _ in range(MAX_ROUNDS):
            if not pending or context.remaining(self.node.clock) < LEAST_REMAINING:
                break
            outcome = await self._round(context, snapshot, pending, excluded)
            self._take(context, outcome, answers)
            excluded |= outcome.failed_gathers
            pending = self._worth_another_round(context, shards, answers)
        return answers

    async def _survives(
        self,
        context: RequestContext,
        snapshot: Snapshot,
        answers: dict[str, SubAnswer],
    ) -> bool:
        """Run a suspect on one shard alone; return whether that was answered.

        A shard where nothing could be sent proves nothing; the next is tried.
        """
        names = rendezvous_order(context.fingerprint, answers)
        answers.update(
            {name: SubAnswer(name, lack=MissingReason.SUSPECT) for name in names}
        )
        shards = {shard.name: shard for shard in snapshot.shards}
        for name in names:
            outcome = await self._round(context, snapshot, [shards[name]], frozenset())
            self._take(context, outcome, answers)
            if answers[name].lack not in _NOT_SENT:
                return answers[name].lack is None
        return False

    def _worth_another_round(
        self,
        context: RequestContext,
        shards: dict[str, Shard],
        answers: dict[str, SubAnswer],
    ) -> list[Shard]:
        # If no shard answered, the request itself may have lost the searchers.
        lost = any(answer.lost_searchers for answer in answers.values())
        answered = any(answer.lack is None for answer in answers.values())
        if lost and (context.suspect or not answered):
            return []
        return [
            shards[name]
            for name, answer in answers.items()
            if answer.lack in _TRY_AGAIN
        ]

    def _take(
        self,
        context: RequestContext,
        outcome: _Round,
        answers: dict[str, SubAnswer],
    ) -> None:
        result = context.result
        result.answers.extend(outcome.answers)
        result.queue_delay = max(result.queue_delay, outcome.queue_delay)
        for answer in outcome.answers:
            result.shed |= answer.lack is MissingReason.SHED
            earlier = answers.get(answer.shard)
            if earlier is not None:
                lost = earlier.lost_searchers + answer.lost_searchers
                answers[answer.shard] = replace(answer, lost_searchers=lost)

    async def _round(
        self,
        context: RequestContext,
        snapshot: Snapshot,
        shards: Iterable[Shard],
        excluded: frozenset[str],
    ) -> _Round:
        groups = self.router.group(snapshot, shards, excluded)
        calls = [
            asyncio.create_task(self._call(context, snapshot, gather, group))
            for gather, group in groups.items()
        ]
        replies = await asyncio.gather(*calls)
        answers: list[SubAnswer] = []
        queue_delay = timedelta()
        failed: set[str] = set()
        for gather, group, reply in zip(groups, groups.values(), replies, strict=True):
            match reply:
                case SearchReply():
                    answers.extend(reply.answers)
                    delay = timedelta(milliseconds=reply.queue_delay_ms)
                    queue_delay = max(queue_delay, delay)
                case CallError():
                    failed.add(gather)
                    answers.extend(
                        SubAnswer(shard.name, lack=MissingReason.GATHER_LOST)
                        for shard in group
                    )
        return _Round(tuple(answers), queue_delay, frozenset(failed))

    async def _call(
        self,
        context: RequestContext,
        snapshot: Snapshot,
        gather: str,
        shards: tuple[Shard, ...],
    ) -> SearchReply | CallError:
        remaining = context.remaining(self.node.clock)
        request = SearchRequest(
            self.node.peers.envelope(),
            context.request.request_id,
            snapshot.family,
            snapshot.index_version,
            context.request.query,
            remaining / timedelta(milliseconds=1),
            shards,
            len(snapshot.shards),
            snapshot.slots,
            snapshot.connections,
            context.suspect,
        )
        outcome = await self.node.peers.channels.search(gather, request, remaining)
        if outcome.is_err():
            error = outcome.unwrap_err()
            self.node.peers.handle_call_failure(error)
            self.node.metrics.add("gather_calls_failed")
            return error
        reply = outcome.unwrap()
        if reply.request_id != context.request.request_id:
            self.node.metrics.add("replies_mismatched")
            return CallError(gather, True, "mismatched")
        return reply

    def _newer_snapshot(
        self,
        context: RequestContext,
        snapshot: Snapshot,
        answers: dict[str, SubAnswer],
    ) -> Snapshot | None:
        reasons = {answer.lack for answer in answers.values()}
        if MissingReason.WRONG_VERSION not in reasons:
            return None
        newer = self.node.published.snapshots.value.find(snapshot.family)
        if newer is None or newer.index_version <= snapshot.index_version:
            return None
        if context.remaining(self.node.clock) < LEAST_REMAINING:
            return None
        return newer

    def _conclude(
        self,
        context: RequestContext,
        snapshot: Snapshot,
        answers: dict[str, SubAnswer],
    ) -> Outcome:
        request_id = context.request.request_id
        policy = context.policy
        if _was_not_run(answers.values()):
            shed = any(answer.lack is MissingReason.SHED for answer in answers.values())
            reason = RefusalReason.SHED if shed else RefusalReason.NO_SEARCHER
            return Refused(request_id, reason, policy.retry_after)
        hits, coverage = merge_answers(
            (shard.name for shard in snapshot.shards),
            snapshot.index_version,
            answers.values(),
            policy.hit_limit,
        )
        version = snapshot.index_version
        if not coverage.lacking:
            return Complete(request_id, version, coverage, hits)
        sufficient = coverage.fraction >= policy.least_coverage
        return Partial(request_id, version, coverage, hits, sufficient)


def _was_not_run(answers: Iterable[SubAnswer]) -> bool:
    """Return whether no shard had a slot or a searcher, so that nothing was sent."""
    return all(answer.lack in _NOT_SENT and answer.attempts == 0 for answer in answers)
