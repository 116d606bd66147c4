"""The front end of one host with simulated searchers and callers in virtual time."""

import json
import random
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from itertools import count

from foxtailseam.admission import FleetAdmission
from foxtailseam.clocks import HybridClock
from foxtailseam.dispatch import AnswerMetadata, BudgetSettings, Dispatcher
from foxtailseam.front import (
    ConfigurationManager,
    FrontEnd,
    OverloadGuard,
    QuarantineGuard,
    TimingSettings,
)
from foxtailseam.http import HttpRequest, HttpResponse, find_header
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam.quarantine import QuarantineController
from foxtailseam.rate_limits import HostGroup
from foxtailseam.routing import Configuration
from foxtailseam.store import Item, Position, Removal
from foxtailseam_bench.simulation._admission_gossip import SimulatedGossip
from foxtailseam_bench.simulation._link import LinkedPool, SimulatedLink
from foxtailseam_bench.simulation._peers import SimulatedPeers
from foxtailseam_bench.simulation._searcher import (
    LEAVING_HEADER,
    LIMIT_HEADER,
    PAUSE_HEADER,
    SHED_STATUS,
    SimulatedSearcher,
)
from foxtailseam_bench.simulation._time import LateTimers, VirtualTime

EXPIRY_INTERVAL_SECONDS = 0.25
# Identifiers reserved for each tier, so that those of several tiers differ.
IDENTIFIERS_PER_TIER = 1_000_000


@dataclass(eq=False)
class SimulatedCall:
    """A caller's request; implements the part of `Call` that the front end uses.

    `path` is that of the request; `sent_at` and `answered_at` are virtual seconds.
    """

    request: HttpRequest
    sent_at: float
    path: str
    on_disconnect: Callable[[], None] | None = None
    response: HttpResponse | None = None
    answered_at: float = 0.0
    time: VirtualTime | None = None
    forward: None = None

    def respond(self, response: HttpResponse) -> None:
        """Store the response and its time; a second response is an error."""
        if self.response is not None:
            raise AssertionError("a request was answered twice")
        self.response = response
        self.answered_at = self.time.monotonic()

    @property
    def seconds(self) -> float:
        """Return the time from the request to its response, in virtual seconds."""
        return self.answered_at - self.sent_at

    @property
    def missing_shards(self) -> int:
        """Return the number of shards that the answer lacks."""
        headers = {name.lower(): value for name, value in self.response.headers}
        return int(headers.get(b"foxtailseam-missing-parts", b"0"))


class RecordingLog:
    """Keeps the fields of each event instead of writing lines.

    `events` holds the code and the fields of each event.
    """

    def __init__(self):
        self.events: list[tuple[EventCode, dict[str, object]]] = []

    def write(self, code: EventCode, request_id: str = "", **fields: object) -> None:
        """Keep the event."""
        self.events.append((code, {"request": request_id, **fields}))


def read_simulated_answer(status: int, headers) -> AnswerMetadata:
    """Return the metadata of a simulated searcher's response."""
    stamp = find_header(headers, b"stamp") or b""
    limit = find_header(headers, LIMIT_HEADER)
    pause = find_header(headers, PAUSE_HEADER)
    return AnswerMetadata(
        stamp,
        not_run=status == SHED_STATUS,
        is_misdirected=False,
        rate_limit=None if limit is None else float(limit),
        is_leaving=find_header(headers, LEAVING_HEADER) is not None,
        pause=None if pause is None else timedelta(seconds=float(pause)),
    )


def tier_number(identifier: bytes) -> int:
    """Return the index of the tier that sent a request."""
    return int(identifier, 16) // IDENTIFIERS_PER_TIER


class SimulatedTier:
    """The front end of one host, with simulated searchers.

    Parameters
    ----------
    routes : list of dict
        Routes of the platform's configuration document.
    searchers : dict of str to list of SimulatedSearcher
        Searchers by the name of their service.
    time : VirtualTime
        Clock and timers.
    seed : int
        Seed of random choices.
    hosts : int
        Number of hosts that share the budgets.
    configured_at : float or None
        Virtual time at which the host gets its configuration; None for immediately.
    timer_lag : float
        Virtual seconds by which the host's timers fire late.
    number : int
        Index of the tier, which makes its request identifiers unique.
    host : int or None
        Index of the host among those that share limits; None if it is `number`.
    failure_domain : str
        Failure domain of the host.
    domains : int or None
        Number of failure domains over which the searchers of each service are spread,
        beginning with d1; None for one of its own for each searcher.
    crossing_seconds : float
        One-way delay to the searchers of another failure domain, in virtual seconds.
    """

    def __init__(
        self,
        routes: list[dict],
        searchers: dict[str, list[SimulatedSearcher]],
        time: VirtualTime,
        seed: int = 1,
        hosts: int = 1,
        configured_at: float | None = None,
        number: int = 0,
        timer_lag: float = 0.0,
        host: int | None = None,
        failure_domain: str = "d1",
        domains: int | None = None,
        crossing_seconds: float = 0.0,
    ):
        self.time = time
        self._options = {
            "routes": routes,
            "searchers": searchers,
            "hosts": hosts,
            "failure_domain": failure_domain,
            "domains": domains,
            "crossing_seconds": crossing_seconds,
        }
        self.failure_domain = failure_domain
        self._domains = domains
        self._host = number if host is None else host
        self.searchers = searchers
        self.metrics = Metrics()
        self.log = RecordingLog()
        # Links to the searchers.
        self.link = SimulatedLink()
        if crossing_seconds:
            for members in searchers.values():
                for index, searcher in enumerate(members):
                    if self._domain_of(index) != failure_domain:
                        self.link.delays[searcher] = crossing_seconds
        # Set if the host can forward requests to others.
        self.peers: SimulatedPeers | None = None
        # Set if the host exchanges admitted shares with others.
        self.gossip: SimulatedGossip | None = None
        self.calls: list[SimulatedCall] = []
        self._request_numbers = count(number * IDENTIFIERS_PER_TIER)
        generator = random.Random(seed)
        self._searchers_by_address: dict[str, SimulatedSearcher] = {}
        self.dispatcher = Dispatcher(
            time,
            LateTimers(time, timer_lag),
            lambda address, limit: LinkedPool(
                self._searchers_by_address[address], self.link, time
            ),
            read_simulated_answer,
            BudgetSettings(0.2, 50.0, timedelta(seconds=10)),
            failure_domain,
            self.metrics,
            generator,
        )
        self.dispatcher.hosts = hosts
        addresses = frozenset(f"host-{index}" for index in range(hosts))
        self.dispatcher.gates.set_hosts(HostGroup(f"host-{self._host}", addresses))
        self._overload_guard = OverloadGuard(time, generator)
        self.dispatcher.allows_hedges = self._overload_guard.allows_hedges
        log = self.log
        quarantine = QuarantineController(time, HybridClock(time))
        quarantine_guard = QuarantineGuard(quarantine, log)
        self.dispatcher.on_crash = quarantine_guard.record_crash
        self.configuration_manager = ConfigurationManager(
            self.dispatcher, time, log, generator, self._on_configured
        )
        self.front = FrontEnd(
            self.configuration_manager,
            self.dispatcher,
            time,
            log,
            self.metrics,
            lambda: True,
            TimingSettings(),
            self._overload_guard,
            quarantine_guard,
        )
        if configured_at is None:
            self.publish_all(routes)
        else:
            time.call_later(configured_at, self.publish_all, routes)
        self._expire_entries()

    @property
    def fleet_admission(self) -> FleetAdmission:
        """Return the shares that this host agrees on with others."""
        return self._overload_guard.fleet

    def restarted(self, number: int) -> "SimulatedTier":
        """Return the tier of this host after a restart, which knows nothing of before.

        Parameters
        ----------
        number : int
            Index of the new tier; also its seed.
        """
        return SimulatedTier(
            **self._options, time=self.time, seed=number, number=number, host=self._host
        )

    def send(self, path: str, deadline_ms: int = 1_200) -> SimulatedCall:
        """Send a request now and return the call; the deadline is in milliseconds."""
        identifier = b"%016x" % next(self._request_numbers)
        headers = (
            (b"Host", b"a.example"),
            (b"Foxtailseam-Request-Id", identifier),
            (b"Foxtailseam-Deadline-Ms", b"%d" % deadline_ms),
        )
        now = self.time.monotonic()
        request = HttpRequest(b"GET", path.encode(), headers, b"", now, 0.006)
        call = SimulatedCall(request, now, path, time=self.time)
        self.calls.append(call)
        self.front.serve(call)
        return call

    def load(self, path: str, rate: float, start: float, end: float) -> None:
        """Schedule `rate` requests per second, evenly spaced, from `start` to `end`.

        Both are virtual seconds; they must not be in the past.
        """
        for number in range(int((end - start) * rate)):
            at = start + number / rate
            self.time.call_later(at - self.time.monotonic(), self.send, path)

    def answered(self, path: str = "") -> Iterator[SimulatedCall]:
        """Yield the calls that have a response and whose path contains `path`."""
        for call in self.calls:
            if call.response is not None and path in call.path:
                yield call

    def publish(
        self, service: str, number: int, state: str = "ready", started_ms: int = 0
    ) -> None:
        """Publish the entry of searcher `number` of a service."""
        searcher = self.searchers[service][number]
        entry = {
            "service": service,
            "address": self._address_of(searcher),
            "zone": self._domain_of(number),
            "max_concurrency": searcher.slots,
            "state": state,
            "born": started_ms,
        }
        key = f"servers/{service}-{number}"
        self.configuration_manager.apply_change(
            Item(key, json.dumps(entry).encode(), Position(0, 2))
        )

    def withdraw(self, service: str, number: int) -> None:
        """Remove the entry of searcher `number` of a service."""
        self.configuration_manager.apply_change(
            Removal(f"servers/{service}-{number}", Position(0, 3))
        )

    def _on_configured(self, configuration: Configuration) -> None:
        self._overload_guard.configure(configuration)
        self.front.serve_waiting()

    def _domain_of(self, number: int) -> str:
        """Return the failure domain of searcher `number` of any service."""
        return f"d{(number if self._domains is None else number % self._domains) + 1}"

    def _address_of(self, searcher: SimulatedSearcher) -> str:
        for address, candidate in self._searchers_by_address.items():
            if candidate is searcher:
                return address
        address = f"10.0.{len(self._searchers_by_address)}.1:80"
        self._searchers_by_address[address] = searcher
        return address

    def publish_all(self, routes: list[dict]) -> None:
        """Publish the configuration with `routes` and the entry of every searcher."""
        services = [{"name": name, "max_conns": 26} for name in self.searchers]
        document = {"version": 1, "routes": routes, "services": services}
        value = json.dumps(document).encode()
        self.configuration_manager.apply_change(
            Item("op/config", value, Position(0, 1))
        )
        for service, members in self.searchers.items():
            for number in range(len(members)):
                self.publish(service, number)

    def _expire_entries(self) -> None:
        self.configuration_manager.catalogue.remove_expired()
        self.configuration_manager.evacuation.check()
        self.dispatcher.links.check_idle()
        self.dispatcher.gates.remove_expired()
        self.dispatcher.locality.update()
        self.time.call_later(EXPIRY_INTERVAL_SECONDS, self._expire_entries)


def _searchers(
    time: VirtualTime, shards: int, service_seconds: float, seed: int
) -> dict[str, list[SimulatedSearcher]]:
    generator = random.Random(seed)
    return {
        f"shard{number}": [
            SimulatedSearcher(time, 2, service_seconds, generator) for _ in range(2)
        ]
        for number in range(shards)
    }


def _routes(shards: Iterable[str], goal_ms: int) -> list[dict]:
    return [
        {
            "name": name,
            "host": "a.example",
            "path_prefix": f"/{name}/",
            "type": "idempotent",
            "timeout_ms": 1_200,
            "latency_goal_ms": goal_ms,
            "max_attempts": 2,
            "priority": priority,
            "gather": list(shards),
            "top_k": 5,
            "min_version": 0.89,
        }
        for name, priority in (("urgent", 1), ("other", 2))
    ]


@contextmanager
def simulated_shards(
    shards: int = 20, service_seconds: float = 0.011, seed: int = 1, **options
):
    """Yield a tier with two searchers for each shard and routes over all shards.

    Parameters
    ----------
    shards : int
        Number of shards.
    service_seconds : float
        Mean service time of a searcher, in seconds.
    seed : int
        Seed of searchers and tier.
    **options
        Further parameters of `SimulatedTier`.

    Yields
    ------
    SimulatedTier
    """
    time = VirtualTime()
    searchers = _searchers(time, shards, service_seconds, seed)
    yield SimulatedTier(_routes(searchers, 92), searchers, time, seed, **options)


@contextmanager
def simulated_hosts(
    hosts: int,
    service_seconds: float,
    goal_ms: int,
    shards: int = 20,
    seed: int = 1,
    failure_domains: tuple[str, ...] = ("d1",),
):
    """Yield several tiers that share searchers and forward requests to one another.

    They gossip about the admitted shares and exchange no other state.

    Parameters
    ----------
    hosts : int
        Number of hosts, each with a tier of its own.
    service_seconds : float
        Mean service time of a searcher, in seconds.
    goal_ms : int
        Latency goal of the routes, in milliseconds.
    shards : int
        Number of shards, each with two searchers.
    seed : int
        Seed of the searchers and the first tier.
    failure_domains : tuple of str
        Failure domains over which the hosts are spread in turn.

    Yields
    ------
    list of SimulatedTier
    """
    time = VirtualTime()
    searchers = _searchers(time, shards, service_seconds, seed)
    routes = _routes(searchers, goal_ms)
    yield _joined(
        [
            SimulatedTier(
                routes,
                searchers,
                time,
                seed + number,
                hosts,
                number=number,
                failure_domain=failure_domains[number % len(failure_domains)],
            )
            for number in range(hosts)
        ],
        seed,
    )


@contextmanager
def simulated_service(
    hosts: int,
    searchers: int,
    service_seconds: float,
    goal_ms: int,
    seed: int = 1,
    kind: str = "idempotent",
    *,
    slots: int = 2,
    domains: int = 1,
    crossing_seconds: float = 0.0,
):
    """Yield several tiers with a route to one service whose searchers they share.

    Parameters
    ----------
    hosts : int
        Number of hosts, each with a tier of its own.
    searchers : int
        Number of searchers of the service.
    service_seconds : float
        Mean service time of a searcher, in seconds.
    goal_ms : int
        Latency goal of the route, in milliseconds.
    seed : int
        Seed of the searchers and the first tier.
    kind : str
        Type of the route in the platform's configuration document.
    slots : int
        Number of requests that each searcher runs concurrently.
    domains : int
        Number of failure domains over which hosts and, if more than one, searchers
        are spread evenly.
    crossing_seconds : float
        One-way delay between failure domains, in virtual seconds.

    Yields
    ------
    list of SimulatedTier
    """
    time = VirtualTime()
    generator = random.Random(seed)
    members = [
        SimulatedSearcher(time, slots, service_seconds, generator)
        for _ in range(searchers)
    ]
    route = {
        "name": "read",
        "host": "a.example",
        "path_prefix": "/read/",
        "type": kind,
        "timeout_ms": 4_000,
        "latency_goal_ms": goal_ms,
        "max_attempts": 2,
        "priority": 1,
        "service": "records",
    }
    yield _joined(
        [
            SimulatedTier(
                [route],
                {"records": members},
                time,
                seed + number,
                hosts,
                number=number,
                failure_domain=f"d{number % domains + 1}",
                domains=domains if domains > 1 else None,
                crossing_seconds=crossing_seconds,
            )
            for number in range(hosts)
        ],
        seed,
    )


def _joined(tiers: list[SimulatedTier], seed: int) -> list[SimulatedTier]:
    """Return the tiers after letting them forward requests to one another."""
    peers = SimulatedPeers(tiers[0].time)
    peers.join([tier.front for tier in tiers], seed)
    for tier in tiers:
        tier.peers = peers
    gossip = SimulatedGossip(tiers[0].time, random.Random(seed))
    gossip.join([tier.fleet_admission for tier in tiers])
    for tier in tiers:
        tier.gossip = gossip
    return tiers
