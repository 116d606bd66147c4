"""Upper bound of what hosts gain by telling one another which searchers are slow.

Plays hosts with few queries each, in virtual time, while a part of the searchers is
slow, and compares how well callers are served in three variants.
"""

import random
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from statistics import mean

from foxtailseam_bench.simulation import (
    SimulatedCall,
    SimulatedFleet,
    SimulatedSearcher,
    SimulatedTier,
    simulated_hosts,
)

# Queries per second of each host.
HOST_RATE = 0.5
SERVICE_SECONDS = 0.011
GOAL_MS = 92
# Network round trip between a caller and the host, in seconds.
NETWORK_SECONDS = 0.006
SLOW_SHARE = 0.15
SLOW_FACTOR = 10.0
SLOW_FROM = 12.0
SLOW_UNTIL = 20.0
END = 26.0
# Time after which the oracle tells all hosts of a change, in seconds.
ORACLE_DELAY = 0.3
# Number of windows into which the degradation is divided.
WINDOWS = 4
FAILURE_DOMAINS = ("d1", "d2", "d3")
# Numbers of hosts, and of shards for each.
SIZES = {73: 87, 195: 129}
VARIANTS = ("today", "oracle", "tenth", "notices")


@dataclass(frozen=True, slots=True)
class Play:
    """One play of the degradation.

    Parameters
    ----------
    hosts : int
        Number of hosts of the deployment.
    variant : str
        ``today``: each host goes by its own measurements; ``oracle``: every host knows
        the truth `ORACLE_DELAY` after the fact; ``tenth``: a tenth of the hosts have
        the same traffic; ``notices``: hosts tell one another by gossip.
    seed : int
        Seed of all random choices.
    """

    hosts: int
    variant: str
    seed: int


@dataclass(frozen=True, slots=True)
class PlayResult:
    """How callers were served.

    Parameters
    ----------
    play : Play
        What was played.
    before, after : float
        Score of the queries sent before and after the degradation, 0 to 1.
    during : tuple of float
        Score in each window of the degradation.
    in_goal : float
        Share of the queries in the degradation that were served in time.
    missing : float
        Share of the shards that answers sent in time lack.
    extras : float
        Hedges and retries sent for each first attempt, over the whole play.
    to_slow : float
        Share of the requests in the degradation that reached slow searchers.
    sent : float
        Bytes of gossip that a host sends in a second of the degradation; 0 where the
        play has no gossip.
    """

    play: Play
    before: float
    during: tuple[float, ...]
    after: float
    in_goal: float
    missing: float
    extras: float
    to_slow: float
    sent: float


def run_play(play: Play) -> PlayResult:
    """Play the degradation once and return how callers were served."""
    shards = SIZES[play.hosts]
    hosts = max(1, play.hosts // 10) if play.variant == "tenth" else play.hosts
    generator = random.Random(play.seed)
    with simulated_hosts(
        hosts, SERVICE_SECONDS, GOAL_MS, shards, play.seed, FAILURE_DOMAINS
    ) as tiers:
        time = tiers[0].time
        fleet = join_by_gossip(tiers, play.seed) if play.variant == "notices" else None
        if fleet is None:
            for tier in tiers:
                tier.dispatcher.gates.record_part_timings = _ignore_parts
        at = 0.0
        while at < END:
            at += generator.expovariate(HOST_RATE * play.hosts)
            time.call_later(at, generator.choice(tiers).send, "/urgent/q")
        searchers = [item for pair in tiers[0].searchers.values() for item in pair]
        slow = generator.sample(searchers, round(SLOW_SHARE * len(searchers)))
        time.call_later(SLOW_FROM, _set_slowness, slow, SLOW_FACTOR)
        time.call_later(SLOW_UNTIL, _set_slowness, slow, 1.0)
        if play.variant == "oracle":
            time.call_later(SLOW_FROM + ORACLE_DELAY, _tell_all, tiers, slow, True)
            time.call_later(SLOW_UNTIL + ORACLE_DELAY, _tell_all, tiers, slow, False)
        time.run_until(SLOW_FROM)
        bytes_before = _sent_bytes(fleet)
        time.run_until(SLOW_UNTIL)
        sent = (_sent_bytes(fleet) - bytes_before) / (SLOW_UNTIL - SLOW_FROM) / hosts
        time.run_until(END + 2.0)
    return _result(play, tiers, searchers, slow, sent)


def join_by_gossip(tiers: Sequence[SimulatedTier], seed: int) -> SimulatedFleet:
    """Let hosts exchange what they know of searchers as the product does."""
    gates = [tier.dispatcher.gates for tier in tiers]
    for item in gates:
        item.conditions.failure_domains = len(FAILURE_DOMAINS)
    return SimulatedFleet(
        len(tiers),
        len(FAILURE_DOMAINS),
        seed,
        tiers[0].time,
        tuple(item.conditions for item in gates),
    )


def compare(
    sizes: Iterable[int] = tuple(SIZES),
    seeds: Iterable[int] = (1, 2, 3),
    variants: Iterable[str] = VARIANTS,
    processes: int = 2,
) -> str:
    """Play all variants and return the results as a Markdown table.

    Parameters
    ----------
    sizes : iterable of int
        Numbers of hosts; keys of `SIZES`.
    seeds : iterable of int
        Seeds, one for each play of a variant.
    variants : iterable of str
        Variants of `Play`.
    processes : int
        Number of plays that run at the same time.
    """
    plays = [Play(*item) for item in product(sizes, variants, seeds)]
    with ProcessPoolExecutor(processes) as executor:
        return _table(list(executor.map(run_play, plays)))


def score(calls: Sequence[SimulatedCall], shards: int) -> float:
    """Return the mean share of shards in the answers; 0 for one that came too late."""
    return mean([_value(call, shards) for call in calls]) if calls else 1.0


def _ignore_parts(_parts: Sequence[object]) -> None:
    pass


def _sent_bytes(fleet: SimulatedFleet | None) -> int:
    return sum(host.sent_bytes for host in fleet.hosts.values()) if fleet else 0


def _set_slowness(searchers: Iterable[SimulatedSearcher], factor: float) -> None:
    for searcher in searchers:
        searcher.slowness = factor


def _tell_all(
    tiers: Iterable[SimulatedTier], slow: Iterable[SimulatedSearcher], is_slow: bool
) -> None:
    """Let every host go by the truth in place of what it has measured."""
    truth = {id(searcher): SLOW_FACTOR if is_slow else 1.0 for searcher in slow}
    for tier in tiers:
        for searcher in tier.dispatcher.searchers:
            factor = truth.get(id(searcher.pool.searcher), 1.0)
            searcher.health.slowness_at = lambda now, factor=factor: factor


def _is_in_time(call: SimulatedCall) -> bool:
    if call.response is None or call.response.status != 200:
        return False
    return call.seconds + NETWORK_SECONDS <= GOAL_MS / 1000


def _value(call: SimulatedCall, shards: int) -> float:
    return 1.0 - call.missing_shards / shards if _is_in_time(call) else 0.0


def _result(
    play: Play,
    tiers: Sequence[SimulatedTier],
    searchers: Sequence[SimulatedSearcher],
    slow: Sequence[SimulatedSearcher],
    sent: float,
) -> PlayResult:
    shards = SIZES[play.hosts]
    calls = [call for tier in tiers for call in tier.calls]

    def sent_between(start: float, end: float) -> list[SimulatedCall]:
        return [call for call in calls if start <= call.sent_at < end]

    width = (SLOW_UNTIL - SLOW_FROM) / WINDOWS
    starts = [SLOW_FROM + width * number for number in range(WINDOWS)]
    degraded = sent_between(SLOW_FROM, SLOW_UNTIL)
    in_time = [call for call in degraded if _is_in_time(call)]
    extras = sum(
        tier.metrics.count(name)
        for tier in tiers
        for name in ("hedges_sent", "retries_sent")
    )
    return PlayResult(
        play,
        score(sent_between(SLOW_FROM - 6.0, SLOW_FROM), shards),
        tuple(score(sent_between(at, at + width), shards) for at in starts),
        score(sent_between(SLOW_UNTIL, END), shards),
        len(in_time) / len(degraded),
        mean([call.missing_shards / shards for call in in_time] or [1.0]),
        extras / (len(calls) * shards),
        _arrivals(slow) / _arrivals(searchers),
        sent,
    )


def _arrivals(searchers: Iterable[SimulatedSearcher]) -> int:
    return sum(
        SLOW_FROM <= at < SLOW_UNTIL for item in searchers for at, _ in item.arrivals
    )


def _table(results: Sequence[PlayResult]) -> str:
    lines = [
        "| hosts | variant | seed | before | slow, by window | slow, all | after |"
        " in time | shards missing | extras | to slow | bytes |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {item.play.hosts} | {item.play.variant} | {item.play.seed} |"
        f" {item.before:.3f} | {' '.join(f'{value:.3f}' for value in item.during)} |"
        f" {mean(item.during):.3f} | {item.after:.3f} | {item.in_goal:.3f} |"
        f" {item.missing:.3f} | {item.extras:.3f} | {item.to_slow:.3f} |"
        f" {item.sent:.0f} |"
        for item in results
    ]
    return "\n".join(lines)
