"""Runs a daemon from settings until it is told to stop."""

import asyncio

from foxtailseam.daemons._entry import Entry
from foxtailseam.daemons._gather import Gather
from foxtailseam.daemons._node import Node
from foxtailseam.daemons._shutdown import wait_for_signal, wait_until_idle
from foxtailseam.logs import EventCode, setup_logging
from foxtailseam.settings import Role, Settings

_ROLES = {Role.ENTRY: Entry, Role.GATHER: Gather}


def run_daemon(settings: Settings) -> bool:
    """Run a process until SIGTERM; return whether every request was finished."""
    setup_logging(settings.log.level)
    return asyncio.run(_run(settings))


async def _run(settings: Settings) -> bool:
    node = Node(settings)
    role = _ROLES[settings.process.role](node)
    stop = asyncio.create_task(wait_for_signal())
    start = asyncio.create_task(_start(node, role))
    await asyncio.wait({stop, start}, return_when=asyncio.FIRST_COMPLETED)
    if start.done():
        start.result()
        await stop
        node.drain()
        role.drain()
    else:
        start.cancel()
    finished = await wait_until_idle(
        lambda: role.in_flight, settings.shutdown, node.clock
    )
    if not finished:
        node.recorder.record(EventCode.DRAIN_BOUND_REACHED, in_flight=role.in_flight)
    if start.done():
        await role.stop()
    await node.stop()
    return finished


async def _start(node: Node, role: Entry | Gather) -> None:
    await node.start(role.services)
    await role.start()
