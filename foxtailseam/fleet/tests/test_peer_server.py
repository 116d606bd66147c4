"""Tests of the limits of the connections of other hosts, without sockets."""

import asyncio
from dataclasses import dataclass

import pytest

from foxtailseam.clocks import ManualClock
from foxtailseam.fleet import PeerLimits
from foxtailseam.fleet._peer_server import PeerServer


@dataclass(eq=False)
class StubConnection:
    calls: int = 0
    silent_since: float = 0.0
    is_closing: bool = False

    @property
    def is_silent(self):
        return self.calls == 0

    def abort(self):
        self.is_closing = True


def check(connections, limits, use):
    """Open connections and use one; return which are closed, and how many were told."""

    async def main():
        told = []
        server = PeerServer(
            [], limits=limits, clock=ManualClock(), on_closed=lambda: told.append(1)
        )
        for connection in connections:
            server.opened(connection)
        if use is not None:
            server.limit_calls(use)
        return len(told)

    told = asyncio.run(main())
    closed = [index for index, item in enumerate(connections) if item.is_closing]
    return closed, told


class TestConnections:
    # Guards against: others take the descriptors that searchers need.
    @pytest.mark.parametrize(
        ("connections", "closed"),
        [
            ([(0, 5.0), (0, 3.0)], []),
            ([(0, 5.0), (0, 3.0), (0, 9.0)], [1]),
            ([(0, 5.0), (1, 3.0), (0, 9.0)], [0]),
            ([(1, 5.0), (1, 3.0), (0, 9.0)], [2]),
        ],
    )
    def test_a_silent_one_without_calls_closes(self, connections, closed):
        items = [StubConnection(*item) for item in connections]
        assert check(items, PeerLimits(2, 10), None) == (closed, len(closed))


class TestCalls:
    # Guards against: calls that send no message fill the memory.
    def test_the_connection_with_most_calls_closes(self):
        items = [StubConnection(3), StubConnection(9), StubConnection(4)]
        assert check(items, PeerLimits(5, 15), items[2]) == ([1], 1)

    def test_a_connection_within_its_share_closes_none(self):
        items = [StubConnection(3), StubConnection(99)]
        assert check(items, PeerLimits(5, 15), items[0]) == ([], 0)
