"""Measures how processor time, bytes and memory of operations grow with their size."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from foxtailseam.clocks import HybridClock, HybridTimestamp, SystemClock
from foxtailseam.codecs import MessagePackCodec
from foxtailseam.configuration import (
    Revision,
    RulesStore,
    difference_between,
    digest_lines,
    parse_rules,
)
from foxtailseam.hosts import parse_hosts, rendezvous_order
from foxtailseam.outcomes import Hit, SubAnswer, merge_answers
from foxtailseam.quarantine import QuarantineController, fingerprint_of
from foxtailseam.rpc import (
    Envelope,
    ExchangeRequest,
    SearchReply,
    SearchRequest,
)
from foxtailseam.snapshots import Shard, parse_snapshots

MIN_MEASURED_SECONDS = 0.2


@dataclass(frozen=True)
class Point:
    """The measured cost of an operation at one size.

    `bytes` is the size of the encoded value or messages and `memory_kb` the memory that
    the result holds; 0 if not measured.
    """

    size: int
    microseconds: float
    bytes: int = 0
    memory_kb: float = 0.0


@dataclass(frozen=True)
class Slope:
    """The cost of an operation by size, with a linear fit.

    Parameters
    ----------
    name : str
        The operation.
    unit : str
        The unit of size, in the singular.
    points : tuple of Point
        Measurements of at least two sizes.
    """

    name: str
    unit: str
    points: tuple[Point, ...]

    @property
    def per_unit(self) -> float:
        """Return the processor time per unit of size, in microseconds.

        It is the slope of a least-squares fit.
        """
        return _fit_line([(point.size, point.microseconds) for point in self.points])[0]

    @property
    def fixed(self) -> float:
        """Return the processor time at size zero, in microseconds.

        It is the intercept of a least-squares fit, or 0 if that is negative.
        """
        line = _fit_line([(point.size, point.microseconds) for point in self.points])
        return max(0.0, line[1])

    @property
    def bytes_per_unit(self) -> float:
        """Return the bytes per unit of size, by least squares."""
        return _fit_line([(point.size, point.bytes) for point in self.points])[0]

    @property
    def memory_per_unit(self) -> float:
        """Return the memory per unit of size, in KB, by least squares."""
        return _fit_line([(point.size, point.memory_kb) for point in self.points])[0]


def _fit_line(pairs: list[tuple[float, float]]) -> tuple[float, float]:
    count = len(pairs)
    mean_x = sum(x for x, _ in pairs) / count
    mean_y = sum(y for _, y in pairs) / count
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return slope, mean_y - slope * mean_x


def processor_microseconds(call: Callable[[], object]) -> float:
    """Return the mean processor time of a call, in microseconds.

    The number of calls is doubled until they take at least `MIN_MEASURED_SECONDS`.
    """
    call()
    calls = 1
    while True:
        started = time.process_time()
        for _ in range(calls):
            call()
        seconds = time.process_time() - started
        if seconds >= MIN_MEASURED_SECONDS:
            return seconds * 1e6 / calls
        calls *= 2


def memory_kb(make: Callable[[], object]) -> float:
    """Return the memory held by the value that `make` returns, in KB."""
    gc.collect()
    tracemalloc.start()
    value = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return size / 1024


def rules_text(count: int, limit: int = 10) -> str:
    """Return a rules file of `count` lines, each a `limit` for a family of its own."""
    requester = "# Desk " + "x" * 46
    return "".join(
        f"family-{number:05} limit {limit}  {requester}\n" for number in range(count)
    )


def hosts_text(count: int) -> str:
    """Return the published JSON list of `count` entry hosts."""
    hosts = [
        {
            "name": f"host-{number:05}",
            "failure_domain": f"domain-{number % 10}",
            "state": "live",
            "entry": f"10.{number >> 8}.{number & 255}.1:7000",
            "gathers": [f"10.{number >> 8}.{number & 255}.1:7001"],
        }
        for number in range(count)
    ]
    return msgspec.json.encode({"hosts": hosts, "leaving_searchers": []}).decode()


def snapshots_text(searchers: int, replicas: int = 2) -> str:
    """Return the published JSON of a snapshot with `searchers` searchers.

    Each shard has `replicas` of them.
    """
    shards = [
        {
            "name": f"shard-{number:05}",
            "searchers": [
                f"10.{number >> 8}.{number & 255}.{replica}:7000"
                for replica in range(replicas)
            ],
        }
        for number in range(searchers // replicas)
    ]
    snapshot = {"family": "records", "index_version": 1, "shards": shards}
    return msgspec.json.encode({"snapshots": [snapshot]}).decode()


def parse_slope(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    make: Callable[[int], str],
    parse: Callable,
) -> Slope:
    """Measure the parsing of a published value.

    Parameters
    ----------
    name, unit : str
        Name of the operation and unit of its size, as in `Slope`.
    sizes : tuple of int
        Sizes to measure.
    make : callable
        Returns the published text of a size.
    parse : callable
        Parses the text.
    """
    points = []
    for size in sizes:
        text = make(size)
        points.append(
            Point(
                size,
                processor_microseconds(lambda text=text: parse(text)),
                len(text.encode()),
                memory_kb(lambda text=text: parse(text)),
            )
        )
    return Slope(name, unit, tuple(points))


def difference_slope() -> Slope:
    """Measure the merge of a rules difference by number of changed rules, of 10,000."""
    points = []
    old = parse_rules(rules_text(10_000)).unwrap()
    base = Revision(1, digest_lines(old.lines))
    for changed in (1, 100, 1_000):
        text = rules_text(changed, 20) + "".join(
            f"{line}\n" for line in old.lines if _family_number(line) >= changed
        )
        new = parse_rules(text).unwrap()
        target = Revision(2, digest_lines(new.lines))
        difference = difference_between(base, old, target, new)
        encoded = msgspec.msgpack.encode(difference)

        def merge(difference=difference):
            store = RulesStore()
            store._rules, store._revision = old, base
            return store.merge(difference).unwrap()

        cost = processor_microseconds(merge)
        points.append(Point(changed, cost, len(encoded)))
    return Slope("apply a difference of the rules", "changed rule", tuple(points))


def _family_number(line: str) -> int:
    return int(line.split()[0].removeprefix("family-"))


def rendezvous_slope() -> Slope:
    """Measure the rendezvous order of the gathers for a shard by their number."""
    points = []
    for size in (100, 1_000, 6_700):
        nodes = [f"10.{n >> 8}.{n & 255}.1:7001" for n in range(size)]
        cost = processor_microseconds(
            lambda nodes=nodes: rendezvous_order("records/shard-00001", nodes)
        )
        points.append(Point(size, cost))
    return Slope("order the gathers of a shard", "gather", tuple(points))


def _envelope() -> Envelope:
    revision = Revision(1, "0" * 32)
    stamp = HybridTimestamp(1_790_000_000_000, 1)
    sender, incarnation = "10.0.0.1:7000", "0" * 24
    return Envelope(stamp, sender, incarnation, False, revision, revision, revision)


def exchange_slope() -> Slope:
    """Measure encoding and decoding of an exchange by its number of suspicions."""
    codec = MessagePackCodec()
    points = []
    for size in (0, 16, 64):
        clock = SystemClock()
        quarantine = QuarantineController(clock, HybridClock(clock))
        for number in range(size):
            fingerprint = fingerprint_of("records", str(number))
            quarantine.record_loss(fingerprint, timedelta(minutes=1), alone=False)

        def round_trip(quarantine=quarantine):
            message = ExchangeRequest(_envelope(), quarantine.notices(), ())
            encoded = codec.encode(message, ExchangeRequest)
            codec.decode(encoded, ExchangeRequest)
            return encoded

        points.append(
            Point(size, processor_microseconds(round_trip), len(round_trip()))
        )
    return Slope("encode and decode an exchange", "suspicion", tuple(points))


def batch_slope() -> Slope:
    """Measure encoding and decoding of a search batch and its reply by shards."""
    codec = MessagePackCodec()
    points = []
    for size in (1, 33, 1_100):
        shards = tuple(
            Shard(f"shard-{n:05}", ("10.0.0.1:7000", "10.0.0.2:7000"))
            for n in range(size)
        )
        request = SearchRequest(
            *(_envelope(), "0" * 24, "records", 1, "climber 1", 100.0),
            *(shards, 1_100, 2, 25, False),
        )
        reply = SearchReply(_envelope(), "0" * 24, _sample_answers(size), 1.0)

        def round_trip(request=request, reply=reply):
            sent = codec.encode(request, SearchRequest)
            codec.decode(sent, SearchRequest)
            received = codec.encode(reply, SearchReply)
            codec.decode(received, SearchReply)
            return sent + received

        points.append(
            Point(size, processor_microseconds(round_trip), len(round_trip()))
        )
    return Slope("encode and decode a search and its reply", "shard", tuple(points))


def merge_slope() -> Slope:
    """Measure the merge of an answer by shards, with three hits from each."""
    points = []
    for size in (20, 200, 1_100):
        answers = _sample_answers(size)
        names = [answer.shard for answer in answers]
        cost = processor_microseconds(
            lambda names=names, answers=answers: merge_answers(names, 1, answers, 100)
        )
        points.append(Point(size, cost))
    return Slope("merge sub-answers", "shard", tuple(points))


def _sample_answers(size: int) -> tuple[SubAnswer, ...]:
    return tuple(
        SubAnswer(
            f"shard-{shard:05}",
            1,
            tuple(Hit(f"{shard}-{n}", 1.0 + n, "climber") for n in range(3)),
            attempts=1,
        )
        for shard in range(size)
    )


def measure_slopes() -> dict[str, Slope]:
    """Measure every operation that needs no daemons; return slopes by name."""
    sizes = (100, 1_000, 10_000)
    return {
        "rules": parse_slope("parse the rules", "rule", sizes, rules_text, parse_rules),
        "hosts": parse_slope(
            "parse the list of hosts",
            "host",
            (100, 1_000, 6_700),
            hosts_text,
            parse_hosts,
        ),
        "snapshots": parse_slope(
            "parse the snapshots",
            "searcher",
            (300, 3_000, 30_000),
            snapshots_text,
            parse_snapshots,
        ),
        "difference": difference_slope(),
        "rendezvous": rendezvous_slope(),
        "exchange": exchange_slope(),
        "batch": batch_slope(),
        "merge": merge_slope(),
    }
