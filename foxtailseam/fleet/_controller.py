"""Keeps this host's copy of the configuration service level, with the others'."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.catalogue import Catalogue
from foxtailseam.clocks import Clock
from foxtailseam.fleet._members import HostRecord, Membership
from foxtailseam.fleet._messages import (
    FollowRequest,
    FollowUpdate,
    MemberExchange,
    WireChange,
)
from foxtailseam.fleet._tree import Position, position_of
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.quarantine import QuarantineController
from foxtailseam.store import Item, Listing, StoreFollower, StoreReplica

# Age that is told where nothing is known, in milliseconds.
UNKNOWN_AGE_MS = 1_000_000_000
TICK_SECONDS = 0.25
# Hosts that are told of news at once.
SPREAD = 4


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Times of the exchange among hosts.

    Parameters
    ----------
    exchange_interval : timedelta
        Time between two exchanges of members.
    seed_interval : timedelta
        Time between two exchanges with a seed, so that parts that know nothing
        of each other meet.
    update_interval : timedelta
        Longest time between two updates of a host that passes changes on.
    silence : timedelta
        A host without an update for so long is taken as lost.
    timeout : timedelta
        Bound on a call, and on opening a connection.
    fresh_age : timedelta
        What others pass on may be so old before this host reads itself.
    reading_hold : timedelta
        How long it goes on reading after others are fresh again.
    """

    exchange_interval: timedelta = timedelta(milliseconds=1500)
    seed_interval: timedelta = timedelta(seconds=4)
    update_interval: timedelta = timedelta(milliseconds=500)
    silence: timedelta = timedelta(milliseconds=1400)
    timeout: timedelta = timedelta(milliseconds=500)
    fresh_age: timedelta = timedelta(milliseconds=1400)
    reading_hold: timedelta = timedelta(seconds=2)


@dataclass(slots=True)
class _Parent:
    task: asyncio.Task
    age: float = float("inf")
    heard_at: float = float("-inf")


class FleetController:
    """Reads the service, or follows hosts that do.

    Parameters
    ----------
    own : HostRecord
        This host.
    seeds : tuple of str
        Addresses of some hosts; may be out of date.
    replica : StoreReplica
        What is kept level.
    follower : StoreFollower
        Reads the service while this host must.
    catalogue : Catalogue
        Its grace for lapsed entries is shared.
    clock : Clock
        Source of monotonic time.
    settings : FleetSettings
        Times.
    log : LogWriter
        Where changes of the sources are told.
    generator : random.Random
        Picks hosts and spreads pauses.
    on_members : callable
        Gets the number of living hosts when it changes.
    quarantine : QuarantineController
        What is known of requests that crash searchers; shared.
    """

    def __init__(
        self,
        own: HostRecord,
        seeds: tuple[str, ...],
        replica: StoreReplica,
        follower: StoreFollower,
        catalogue: Catalogue,
        clock: Clock,
        settings: FleetSettings,
        log: LogWriter,
        generator: random.Random,
        on_members: Callable[[int], None],
        quarantine: QuarantineController,
    ):
        self.seeds = seeds
        self.replica = replica
        self.follower = follower
        self.catalogue = catalogue
        self.clock = clock
        self.settings = settings
        self.log = log
        self.generator = generator
        self.on_members = on_members
        self.quarantine = quarantine
        self.membership = Membership(own, clock, generator)
        self._position = Position(True, ())
        self._parents: dict[str, _Parent] = {}
        self._reading: asyncio.Task | None = None
        self._read_until = float("-inf")
        self._members: frozenset[str] = frozenset()
        self._helper: str | None = None
        self._helper_until = float("-inf")
        self._tasks: set[asyncio.Task] = set()
        self._passing: set[asyncio.Task] = set()
        self._news = asyncio.Event()
        self._stop_serving = None

    @property
    def age(self) -> float:
        """Return the seconds since this host's copy was known to be level."""
        return min(self.follower.age, self._followed_age())

    @property
    def is_reading(self) -> bool:
        """Return whether this host reads the service itself."""
        return self._reading is not None

    async def start(self) -> None:
        """Begin to read, to follow and to serve other hosts."""
        # grpclib takes a part of the start; the first reading goes before it.
        self._update_reading()
        await asyncio.sleep(0)
        from foxtailseam.fleet import _service

        self._service = _service
        self._stop_serving = await _service.serve(self.membership.own.address, self)
        self._spawn(self._tick_loop())
        self._spawn(self._exchange_loop())
        self._spawn(self._seed_loop())

    async def leave(self) -> None:
        """Tell other hosts that this one stops, so that none relies on it."""
        self.membership.leave()
        addresses = [record.address for record in self.membership.alive[1:]]
        self.generator.shuffle(addresses)
        await asyncio.gather(*(self._exchange(item) for item in addresses[:4]))

    async def stop(self) -> None:
        """Stop everything."""
        for task in (
            *self._tasks,
            *self._passing,
            *(p.task for p in self._parents.values()),
        ):
            task.cancel()
        if self._reading is not None:
            self._reading.cancel()
        if self._stop_serving is not None:
            await self._stop_serving()

    def raise_task_errors(self) -> None:
        """Raise the error of a task that ended by a fault of the program."""
        for task in (*self._tasks, self._reading):
            if task is not None and task.done() and not task.cancelled():
                task.result()

    def notify_followers(self) -> None:
        """Pass news on at once."""
        self._news.set()
        self._news = asyncio.Event()

    def gossip_now(self) -> None:
        """Tell some hosts of news at once; they do the same."""
        others = [record.address for record in self.membership.alive[1:]]
        chosen = self.generator.sample(others, min(SPREAD, len(others)))
        for address in chosen:
            task = asyncio.create_task(self._exchange(address))
            self._passing.add(task)
            task.add_done_callback(self._passing.discard)

    # What other hosts call.

    def exchange(self, message: MemberExchange) -> MemberExchange:
        """Merge what the sender knows and return what is known here."""
        self._take_exchange(message)
        return self._own_exchange()

    async def follow(self, request: FollowRequest) -> AsyncIterator[FollowUpdate]:
        """Yield updates to a host that follows this one."""
        self._merge((request.sender,))
        sent = request.revision
        is_first = True
        while True:
            update = self._update(sent, is_first)
            yield update
            if update.revision:
                sent = max(sent, update.revision)
                is_first = False
            news = self._news
            if self.replica.revision > sent:
                continue
            try:
                seconds = self.settings.update_interval.total_seconds()
                async with asyncio.timeout(seconds):
                    await news.wait()
            except TimeoutError:
                # Nothing new: the next update only tells the age.
                continue

    def _update(self, sent: int, is_first: bool) -> FollowUpdate:
        replica = self.replica
        is_listing = is_first and not replica.has_removals_since(sent)
        changes = replica.items if is_listing else replica.changes_after(sent)
        age = self.age
        age_ms = UNKNOWN_AGE_MS if age == float("inf") else int(age * 1000)
        return FollowUpdate(
            tuple(map(WireChange.of, changes)),
            replica.revision,
            is_listing and replica.revision > 0,
            min(UNKNOWN_AGE_MS, age_ms),
            int(self.catalogue.remaining_grace * 1000),
        )

    # Membership.

    async def _exchange_loop(self) -> None:
        while True:
            await self._pause(self.settings.exchange_interval)
            self.membership.advance()
            self.membership.forget()
            address = self.membership.pick()
            if address is not None:
                await self._exchange(address)

    async def _seed_loop(self) -> None:
        while True:
            known = self.membership.addresses
            unknown = [seed for seed in self.seeds if seed not in known]
            await asyncio.gather(*(self._exchange(seed) for seed in unknown))
            is_alone = len(self.membership.addresses) == 1
            interval = self.settings.seed_interval / (8 if is_alone else 1)
            await self._pause(interval)

    async def _exchange(self, address: str) -> None:
        seconds = self.settings.timeout.total_seconds()
        channel = self._service.FleetChannel(address, seconds)
        try:
            reply = await channel.exchange(self._own_exchange(), seconds)
        except self._service.CALL_ERRORS as error:
            self.membership.suspect(address)
            self.log.write(
                EventCode.PEER_UNREACHABLE, peer=address, error=type(error).__name__
            )
        else:
            self._take_exchange(reply)
        finally:
            channel.close()

    def _own_exchange(self) -> MemberExchange:
        return MemberExchange(self.membership.named(), self.quarantine.notices())

    def _take_exchange(self, message: MemberExchange) -> None:
        self._merge(message.records)
        if self.quarantine.merge(message.notices):
            self.gossip_now()

    def _merge(self, records: tuple[HostRecord, ...]) -> None:
        if self.membership.merge(records):
            self._update_position()

    # Following.

    def _update_position(self) -> None:
        members = self.membership.addresses
        if members != self._members:
            self._members = members
            self._position = position_of(self.membership.own.address, members)
            self.on_members(len(members))
        wanted = {*self._position.parents, *self._helpers(members)}
        for address in list(self._parents):
            if address not in wanted:
                self._parents.pop(address).task.cancel()
        for address in wanted:
            if address not in self._parents:
                task = asyncio.create_task(self._follow_parent(address))
                self._parents[address] = _Parent(task)

    def _helpers(self, members: frozenset[str]) -> tuple[str, ...]:
        """Return a host to follow beside the parents while this one is behind."""
        now = self.clock.monotonic()
        if self.age <= self.settings.fresh_age.total_seconds():
            return ()
        if now >= self._helper_until:
            # Another one each time: the last may be as far behind.
            others = members - {self.membership.own.address}
            self._helper = self.generator.choice(sorted(others)) if others else None
            self._helper_until = now + self.settings.silence.total_seconds()
        return (self._helper,) if self._helper in members else ()

    async def _follow_parent(self, address: str) -> None:
        while True:
            channel = self._service.FleetChannel(
                address, self.settings.timeout.total_seconds()
            )
            request = FollowRequest(self.membership.own, self.replica.revision)
            reason = "ended"
            try:
                silence = self.settings.silence.total_seconds()
                async for update in channel.follow(request, silence):
                    self._take(address, update)
            except self._service.CALL_ERRORS as error:
                reason = type(error).__name__
            finally:
                channel.close()
            self._lost(address, reason)
            await self._pause(self.settings.timeout)

    def _take(self, address: str, update: FollowUpdate) -> None:
        parent = self._parents.get(address)
        if parent is None:
            return
        if parent.age == float("inf"):
            self.log.write(EventCode.FOLLOWING, peer=address, age_ms=update.age_ms)
        parent.age = update.age_ms / 1000
        parent.heard_at = self.clock.monotonic()
        if update.grace_ms:
            self.catalogue.extend_grace(timedelta(milliseconds=update.grace_ms))
        changes = [change.change() for change in update.changes]
        if update.is_listing:
            items = tuple(item for item in changes if isinstance(item, Item))
            news = self.replica.apply_listing(Listing(items, update.revision))
        else:
            news = self.replica.apply(changes, update.revision)
        if news:
            self.notify_followers()

    def _lost(self, address: str, reason: str) -> None:
        parent = self._parents.get(address)
        if parent is not None and parent.age != float("inf"):
            parent.age = float("inf")
            self.log.write(EventCode.FOLLOWING_LOST, peer=address, reason=reason)
        self.membership.suspect(address)
        self._update_position()
        self._update_reading()

    def _followed_age(self) -> float:
        now = self.clock.monotonic()
        ages = (item.age + now - item.heard_at for item in self._parents.values())
        return min(ages, default=float("inf"))

    # Reading.

    async def _tick_loop(self) -> None:
        while True:
            self._update_position()
            self._update_reading()
            await asyncio.sleep(TICK_SECONDS)

    def _update_reading(self) -> None:
        now = self.clock.monotonic()
        is_fresh = self._followed_age() < self.settings.fresh_age.total_seconds()
        if self._position.is_reader or not is_fresh:
            self._read_until = now + self.settings.reading_hold.total_seconds()
        must_read = now < self._read_until
        if must_read and self._reading is None:
            self._reading = asyncio.create_task(self.follower.run())
            reason = "position" if self._position.is_reader else "nobody is fresh"
            self.log.write(EventCode.READING_STARTED, reason=reason)
        elif not must_read and self._reading is not None:
            self._reading.cancel()
            self._reading = None
            self.log.write(EventCode.READING_STOPPED)

    def _spawn(self, coroutine) -> None:
        self._tasks.add(asyncio.create_task(coroutine))

    async def _pause(self, interval: timedelta) -> None:
        seconds = interval.total_seconds() * self.generator.uniform(0.7, 1.3)
        await asyncio.sleep(seconds)
