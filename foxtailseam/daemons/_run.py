"""Runs an entry or a gather process until SIGTERM or SIGINT."""

import asyncio

from foxtailseam.daemons._entry import Entry
from foxtailseam.daemons._gather import Gather
from foxtailseam.daemons._node import Node
from foxtailseam.daemons._shutdown import wait_for_signal, wait_until_idle
from foxtailseam.logs import EventCode, setup_logging
from foxtailseam.settings import Role, Settings

_DAEMON_CLASSES = {Role.ENTRY: Entry, Role.GATHER: Gather}


def run_daemon(settings: Settings) -> bool:
    """Run a process until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : Settings
        Validated settings; the role decides what is run.

    Returns
    -------
    bool
        Whether all requests in flight ended within the shutdown bound.
    """
    setup_logging(settings.log.level)
    return asyncio.run(_run(settings))


async def _run(settings: Settings) -> bool:
    node = Node(settings)
    daemon = _DAEMON_CLASSES[settings.process.role](node)
    stop_task = asyncio.create_task(wait_for_signal())
    start_task = asyncio.create_task(_start(node, daemon))
    await asyncio.wait({stop_task, start_task}, return_when=asyncio.FIRST_COMPLETED)
    if start_task.done():
        start_task.result()
        await stop_task
        node.drain()
        daemon.drain()
    else:
        start_task.cancel()
    all_finished = await wait_until_idle(
        lambda: daemon.in_flight, settings.shutdown, node.clock
    )
    if not all_finished:
        node.recorder.record(EventCode.DRAIN_BOUND_REACHED, in_flight=daemon.in_flight)
    if start_task.done():
        await daemon.stop()
    await node.stop()
    return all_finished


async def _start(node: Node, daemon: Entry | Gather) -> None:
    await node.start(daemon.services)
    await daemon.start()
