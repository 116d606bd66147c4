"""Exchanges gossip with other hosts in the background."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from foxtailseam.fleet._burst_pacer import BurstPacer
from foxtailseam.fleet._gossip import Gossip
from foxtailseam.fleet._settings import FleetSettings, jittered
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.supervision import Supervisor

# Number of hosts to which urgent news is sent at once.
GOSSIP_FANOUT = 4
# Mean pause between exchanges while there is urgent news, as a part of the usual one.
URGENT_SHARE = 1 / 6
# While no other host is known, the seeds are asked this many times as often.
LONELY_FACTOR = 8


class GossipLoop:
    """Calls random hosts, and the seeds that are not known as members.

    Parameters
    ----------
    gossip : Gossip
        Builds and merges the messages.
    seeds : callable
        Returns the addresses of the current seeds.
    settings : FleetSettings
        Intervals and timeouts.
    log : LogWriter
        Log for calls that fail.
    generator : random.Random
        Chooses hosts and adds jitter to intervals.
    supervisor : Supervisor
        Runs the exchanges.
    """

    def __init__(
        self,
        gossip: Gossip,
        seeds: Callable[[], tuple[str, ...]],
        settings: FleetSettings,
        log: LogWriter,
        generator: random.Random,
        supervisor: Supervisor,
    ):
        self.gossip = gossip
        self.seeds = seeds
        self.settings = settings
        self.log = log
        self.generator = generator
        self.supervisor = supervisor
        self._tasks: set[asyncio.Task] = set()
        self._urgent = asyncio.Event()
        self._burst_pacer = BurstPacer(gossip.membership.clock)
        self._burst_timer: asyncio.TimerHandle | None = None
        gossip.membership.on_urgent_news = self._urgent.set

    async def run(self) -> None:
        """Exchange messages with one random host after the other, without end."""
        membership = self.gossip.membership
        while True:
            await self._pause_unless_urgent()
            membership.remove_expired()
            address = membership.random_peer()
            if address is not None:
                await self._start_exchange(address)

    async def run_seeds(self) -> None:
        """Join groups of hosts that do not know of each other, without end."""
        membership = self.gossip.membership
        while True:
            known = membership.addresses
            unknown = [seed for seed in self.seeds() if seed not in known]
            await asyncio.gather(*map(self._start_exchange, unknown))
            is_alone = len(membership.addresses) == 1
            factor = LONELY_FACTOR if is_alone else 1
            await self._pause(self.settings.seed_interval / factor)

    def exchange_soon(self) -> None:
        """Plan exchanges with a few hosts at once, unless they are planned already."""
        delay = self._burst_pacer.plan()
        if delay is not None:
            loop = asyncio.get_running_loop()
            self._burst_timer = loop.call_later(delay, self._burst)

    def _burst(self) -> None:
        self._burst_pacer.start()
        self.exchange_with_some()

    def exchange_with_some(self) -> asyncio.Future:
        """Start exchanges with up to `GOSSIP_FANOUT` random hosts.

        Returns
        -------
        asyncio.Future
            Done when all of them have ended.
        """
        others = [record.address for record in self.gossip.membership.alive[1:]]
        count = min(GOSSIP_FANOUT, len(others))
        chosen = self.generator.sample(others, count)
        return asyncio.gather(*map(self._start_exchange, chosen))

    def stop(self) -> None:
        """Cancel all exchanges."""
        if self._burst_timer is not None:
            self._burst_timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _start_exchange(self, address: str) -> asyncio.Task:
        task = self.supervisor.run_once(
            "gossip exchange", partial(self._exchange, address)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _exchange(self, address: str) -> None:
        from foxtailseam.fleet import _rpc

        seconds = self.settings.timeout.total_seconds()
        channel = _rpc.FleetChannel(address, seconds)
        try:
            response = await channel.exchange(self.gossip.request(), seconds)
            self.gossip.finish(response)
        except _rpc.CallError as error:
            self.gossip.fail(address)
            self.log.write(EventCode.PEER_UNREACHABLE, peer=address, error=error.reason)
        finally:
            channel.close()

    async def _pause_unless_urgent(self) -> None:
        interval = self.settings.exchange_interval
        if not self.gossip.membership.has_urgent_news:
            self._urgent.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(jittered(interval, self.generator)):
                    await self._urgent.wait()
                    await self._pause(interval * URGENT_SHARE)
            return
        await self._pause(interval * URGENT_SHARE)

    async def _pause(self, interval: timedelta) -> None:
        await asyncio.sleep(jittered(interval, self.generator))
