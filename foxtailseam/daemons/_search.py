"""Runs a search: queries gathers, merges their answers, reports coverage."""

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
MIN_REMAINING = timedelta(milliseconds=10)
_NOT_SENT_REASONS = (MissingReason.SHED, MissingReason.NO_SEARCHER)
_RETRYABLE_REASONS = (MissingReason.UPSTREAM_LOST, MissingReason.GATHER_LOST)


@dataclass(frozen=True)
class _RoundResult:
    """Result of one round of calls to gathers.

    Parameters
    ----------
    answers : tuple of SubAnswer
        Answers for the shards asked.
    queue_delay : timedelta
        Longest time that a sub-request waited for a slot.
    failed_gathers : frozenset of str
        Addresses of the gathers whose call failed.
    """

    answers: tuple[SubAnswer, ...]
    queue_delay: timedelta
    failed_gathers: frozenset[str]


class SearchHandler:
    """Handler of searches, called after the last filter.

    Parameters
    ----------
    node : Node
        Components of the process.
    router : Router
        Assigns shards to gathers.
    """

    def __init__(self, node: Node, router: Router):
        self.node = node
        self.router = router

    async def run(self, context: RequestContext) -> Outcome:
        """Run a search on all shards and return its outcome.

        All shards are queried once more if a searcher no longer had the index
        version and a newer snapshot is in force.
        """
        snapshot = context.snapshot
        answers = await self._query_all_shards(context, snapshot)
        newer = self._newer_snapshot(context, snapshot, answers)
        if newer is not None:
            # An answer must not mix index versions, so all shards are queried again.
            snapshot = newer
            answers = await self._query_all_shards(context, newer)
        return self._build_outcome(context, snapshot, answers)

    async def _query_all_shards(
        self, context: RequestContext, snapshot: Snapshot
    ) -> dict[str, SubAnswer]:
        shards = {shard.name: shard for shard in snapshot.shards}
        answers = {
            name: SubAnswer(name, lack=MissingReason.GATHER_LOST) for name in shards
        }
        if context.suspect and not await self._probe_suspect(
            context, snapshot, answers
        ):
            return answers
        pending = [shard for shard in shards.values() if answers[shard.name].lack]
        excluded: frozenset[str] = frozenset()
        for _ in range(MAX_ROUNDS):
            if not pending or context.remaining(self.node.clock) < MIN_REMAINING:
                break
            round_result = await self._run_round(context, snapshot, pending, excluded)
            self._merge_round(context, round_result, answers)
            excluded |= round_result.failed_gathers
            pending = self._shards_to_retry(context, shards, answers)
        return answers

    async def _probe_suspect(
        self,
        context: RequestContext,
        snapshot: Snapshot,
        answers: dict[str, SubAnswer],
    ) -> bool:
        """Run a suspect request on one shard; return whether that shard answered.

        The next shard is tried if nothing could be sent.
        """
        names = rendezvous_order(context.fingerprint, answers)
        answers.update(
            {name: SubAnswer(name, lack=MissingReason.SUSPECT) for name in names}
        )
        shards = {shard.name: shard for shard in snapshot.shards}
        for name in names:
            round_result = await self._run_round(
                context, snapshot, [shards[name]], frozenset()
            )
            self._merge_round(context, round_result, answers)
            if answers[name].lack not in _NOT_SENT_REASONS:
                return answers[name].lack is None
        return False

    def _shards_to_retry(
        self,
        context: RequestContext,
        shards: dict[str, Shard],
        answers: dict[str, SubAnswer],
    ) -> list[Shard]:
        # If no shard answered, the request itself may have crashed the searchers.
        lost = any(answer.lost_searchers for answer in answers.values())
        answered = any(answer.lack is None for answer in answers.values())
        if lost and (context.suspect or not answered):
            return []
        return [
            shards[name]
            for name, answer in answers.items()
            if answer.lack in _RETRYABLE_REASONS
        ]

    def _merge_round(
        self,
        context: RequestContext,
        round_result: _RoundResult,
        answers: dict[str, SubAnswer],
    ) -> None:
        result = context.result
        result.answers.extend(round_result.answers)
        result.queue_delay = max(result.queue_delay, round_result.queue_delay)
        for answer in round_result.answers:
            result.shed |= answer.lack is MissingReason.SHED
            earlier = answers.get(answer.shard)
            if earlier is not None:
                lost = earlier.lost_searchers + answer.lost_searchers
                answers[answer.shard] = replace(answer, lost_searchers=lost)

    async def _run_round(
        self,
        context: RequestContext,
        snapshot: Snapshot,
        shards: Iterable[Shard],
        excluded: frozenset[str],
    ) -> _RoundResult:
        groups = self.router.group_by_gather(snapshot, shards, excluded)
        calls = [
            asyncio.create_task(self._call_gather(context, snapshot, gather, group))
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
        return _RoundResult(tuple(answers), queue_delay, frozenset(failed))

    async def _call_gather(
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
        result = await self.node.peers.channels.search(gather, request, remaining)
        if result.is_err():
            error = result.unwrap_err()
            self.node.peers.handle_call_failure(error)
            self.node.metrics.add("gather_calls_failed")
            return error
        reply = result.unwrap()
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
        if context.remaining(self.node.clock) < MIN_REMAINING:
            return None
        return newer

    def _build_outcome(
        self,
        context: RequestContext,
        snapshot: Snapshot,
        answers: dict[str, SubAnswer],
    ) -> Outcome:
        request_id = context.request.request_id
        policy = context.policy
        if _was_not_sent(answers.values()):
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


def _was_not_sent(answers: Iterable[SubAnswer]) -> bool:
    """Return whether nothing was sent, for lack of a slot or of a searcher."""
    return all(
        answer.lack in _NOT_SENT_REASONS and answer.attempts == 0 for answer in answers
    )
