"""TCP relays that can stop forwarding, to simulate a network partition."""

import asyncio
import contextlib
import threading

CHUNK_BYTES = 65_536


class TcpRelays:
    """Relays TCP connections to target addresses from a thread of its own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._servers: dict[tuple[str, str], asyncio.Server] = {}
        # Number of connections that were relayed so far.
        self.opened = 0

    def add(self, address: str, target: str) -> None:
        """Relay connections to `address` on to `target`, both ``IP:PORT``."""
        self._run(self._serve(address, target))

    def disconnect(self) -> None:
        """Hold all bytes but keep connections open, as if the route was lost."""
        self._run(self._set_open(False))

    def reconnect(self) -> None:
        """Reset all connections, dropping held bytes, and relay new ones again."""
        self._run(self._set_open(True))

    def silence_open(self) -> None:
        """Drop all bytes on the connections that are open; new ones work."""
        self._run(self._silence_open())

    def refuse(self, keeps_open: bool = False) -> None:
        """Refuse new connections; reset those that are open unless `keeps_open`."""
        self._run(self._refuse(keeps_open))

    def accept(self) -> None:
        """Accept new connections again."""
        self._run(self._accept())

    def close(self) -> None:
        """Stop the thread and with it all relays."""
        self._run(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self, coroutine) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)

    async def _set_open(self, is_open: bool) -> None:
        if is_open:
            for writer in list(self._writers):
                writer.transport.abort()
            self._open.set()
        else:
            self._open.clear()

    async def _silence_open(self) -> None:
        self._silenced |= self._writers

    async def _refuse(self, keeps_open: bool) -> None:
        for server in self._servers.values():
            server.close()
        if not keeps_open:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _accept(self) -> None:
        for address, target in list(self._servers):
            await self._serve(address, target)

    async def _cancel_tasks(self) -> None:
        own = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not own]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, address: str, target: str) -> None:
        async def relay(reader, writer):
            await self._relay(reader, writer, target)

        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(relay, host, int(port))
        self._servers[address, target] = server

    async def _relay(self, reader, writer, target: str) -> None:
        self.opened += 1
        self._writers.add(writer)
        host, _, port = target.rpartition(":")
        with contextlib.suppress(OSError):
            await self._open.wait()
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(target_writer)
            await asyncio.gather(
                self._forward(reader, target_writer),
                self._forward(target_reader, writer),
            )

    async def _forward(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._open.wait()
                if writer not in self._silenced:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()
        self._writers.discard(writer)
        self._silenced.discard(writer)
