"""Replay of loads on one service whose searchers are in several failure domains."""

import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass

from foxtailseam.fleet import HostRecord
from foxtailseam_bench.simulation._searcher import SimulatedSearcher
from foxtailseam_bench.simulation._tier import SimulatedTier, simulated_service

# Mean pause between two gossip exchanges of a host, in seconds.
EXCHANGE_SECONDS = 1.5
SERVICE = "records"


@dataclass(frozen=True)
class SpilloverLoad:
    """Load that callers offer to the hosts.

    Parameters
    ----------
    hosts : int
        Number of hosts, spread evenly over the failure domains.
    burst : float
        Factor on the usual load in the first domains during the burst.
    burst_domains : int
        Number of failure domains with the burst.
    burst_start, burst_end : float
        Times of the burst, in virtual seconds.
    end : float
        End of the load, in virtual seconds.
    usual : float
        Usual load as a part of the searchers' capacity.
    searchers : int
        Number of searchers of the service.
    domains : int
        Number of failure domains.
    slots : int
        Number of requests that a searcher runs concurrently.
    service_seconds : float
        Mean service time, in seconds.
    crossing_seconds : float
        One-way delay between failure domains, in virtual seconds.
    goal_ms : int
        Latency goal of the route, in milliseconds.
    seed : int
        Seed of all random choices.
    """

    hosts: int = 75
    burst: float = 2.6
    burst_domains: int = 1
    burst_start: float = 8.0
    burst_end: float = 28.0
    end: float = 40.0
    usual: float = 0.45
    searchers: int = 3
    domains: int = 3
    slots: int = 6
    service_seconds: float = 0.03
    crossing_seconds: float = 0.0015
    goal_ms: int = 150
    seed: int = 1


@dataclass(frozen=True)
class SpilloverResult:
    """What callers saw and what crossed, over a part of a replay.

    Parameters
    ----------
    calls : int
        Number of requests.
    in_time : float
        Part of the requests that were answered within the latency goal.
    median_ms, p90_ms, p99_ms : float
        Response times of the answers, in milliseconds.
    """

    calls: int
    in_time: float
    median_ms: float
    p90_ms: float
    p99_ms: float


class SpilloverReplay:
    """Hosts that share a service and tell one another their spillover shares.

    Parameters
    ----------
    load : SpilloverLoad
        Load to replay.
    is_deciding : bool
        Whether the hosts keep spillover shares; if not, they go by the constant price.
    old_hosts : int
        Number of hosts of the previous release among them.
    """

    def __init__(
        self, load: SpilloverLoad, is_deciding: bool = True, old_hosts: int = 0
    ):
        self.load = load
        with ExitStack() as stack:
            service = simulated_service(
                load.hosts,
                load.searchers,
                load.service_seconds,
                load.goal_ms,
                load.seed,
                slots=load.slots,
                domains=load.domains,
                crossing_seconds=load.crossing_seconds,
            )
            self.tiers: list[SimulatedTier] = stack.enter_context(service)
        self.time = self.tiers[0].time
        # Returns whether a message from one host reaches another, by their indices.
        self.is_connected: Callable[[int, int], bool] = lambda sender, receiver: True
        # For each second: the bytes of requests and answers that crossed until then,
        # the arrivals at each searcher, and the shares of the hosts of each domain.
        self.far_bytes: list[int] = []
        self.arrivals: list[tuple[int, ...]] = []
        self.shares: list[dict[str, tuple[float, ...]]] = []
        self.notice_count = 0
        self._generator = random.Random(load.seed)
        capacity = load.searchers * load.slots / load.service_seconds
        self._rate = load.usual * capacity / load.hosts
        self._is_old = [
            not is_deciding or number < old_hosts for number in range(load.hosts)
        ]
        for number, tier in enumerate(self.tiers):
            self.time.call_later(
                self._generator.expovariate(self._rate), self._send, tier
            )
            self.time.call_later(
                self._generator.uniform(0.0, EXCHANGE_SECONDS), self._exchange, number
            )
            if self._is_old[number]:
                tier.dispatcher.locality.update = tier.dispatcher.locality.answers.clear

    @property
    def searchers(self) -> list[SimulatedSearcher]:
        """Return the searchers, in turn of d1, d2 and so on."""
        return self.tiers[0].searchers[SERVICE]

    def run(self) -> None:
        """Play the whole load."""
        counts = [0] * len(self.searchers)
        for second in range(int(self.load.end)):
            self.time.run_until(second + 1.0)
            totals = [tier.dispatcher.traffic.totals for tier in self.tiers]
            self.far_bytes.append(
                sum(item["requests_far"] + item["answers_far"] for item in totals)
            )
            before, counts = counts, [len(item.arrivals) for item in self.searchers]
            pairs = zip(counts, before, strict=True)
            self.arrivals.append(tuple(now - then for now, then in pairs))
            self.shares.append(self._current_shares())

    def result(
        self, start: float, end: float, failure_domain: str | None = None
    ) -> SpilloverResult:
        """Return what callers, of one failure domain or all, saw from start to end."""
        calls = [
            call
            for tier in self.tiers
            if failure_domain in (None, tier.failure_domain)
            for call in tier.calls
            if start <= call.sent_at < end
        ]
        seconds = sorted(
            call.seconds
            for call in calls
            if call.response is not None and call.response.status == 200
        )
        in_time = sum(item <= self.load.goal_ms / 1000 for item in seconds)
        quantiles = [
            round(1000 * seconds[int(share * len(seconds))], 1)
            for share in (0.5, 0.9, 0.99)
        ]
        return SpilloverResult(len(calls), round(in_time / len(calls), 3), *quantiles)

    def far_rate(self, start: int, end: int) -> int:
        """Return the bytes a second between failure domains from start to end."""
        crossed = self.far_bytes[end - 1] - self.far_bytes[start - 1]
        return round(crossed / (end - start))

    def sent_per_request(self, start: int, end: int) -> float:
        """Return the requests that searchers got for each one of a caller."""
        sent = sum(sum(row) for row in self.arrivals[start:end])
        return round(sent / self.result(start, end).calls, 3)

    def _send(self, tier: SimulatedTier) -> None:
        load = self.load
        tier.send("/read/x")
        is_burst = (
            load.burst_start <= self.time.monotonic() < load.burst_end
            and int(tier.failure_domain[1:]) <= load.burst_domains
        )
        rate = self._rate * (load.burst if is_burst else 1.0)
        if self.time.monotonic() < load.end:
            self.time.call_later(self._generator.expovariate(rate), self._send, tier)

    def _exchange(self, number: int) -> None:
        other = self._generator.randrange(len(self.tiers))
        reaches = self.is_connected(number, other) and self.is_connected(other, number)
        if other != number and reaches:
            self._tell(number, other)
            self._tell(other, number)
        pause = EXCHANGE_SECONDS * self._generator.uniform(0.7, 1.3)
        self.time.call_later(pause, self._exchange, number)

    def _tell(self, sender: int, receiver: int) -> None:
        if self._is_old[sender] or self._is_old[receiver]:
            return
        tier = self.tiers[sender]
        notices = tier.dispatcher.locality.notices()
        self.notice_count += len(notices)
        if notices:
            record = HostRecord(f"10.0.0.{sender}:80", tier.failure_domain, 1)
            self.tiers[receiver].dispatcher.locality.merge(record, notices)

    def _current_shares(self) -> dict[str, tuple[float, ...]]:
        shares: dict[str, tuple[float, ...]] = {}
        for tier in self.tiers:
            kept = tier.dispatcher.locality.shares.get(SERVICE)
            if kept is not None:
                domain = tier.failure_domain
                shares[domain] = (*shares.get(domain, ()), kept)
        return shares
