"""TCP relays that can be cut, to split processes from each other."""

import asyncio
import contextlib
import threading

CHUNK = 65_536


class TcpRelays:
    """Relays connections to addresses, until cut; runs in a thread of its own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()

    def add(self, address: str, target: str) -> None:
        """Relay connections to `address` on to `target`."""
        self._run(self._serve(address, target))

    def cut(self) -> None:
        """Let nothing through any more; bytes are held, as by a lost route."""
        self._run(self._set(False))

    def heal(self) -> None:
        """Drop what was held, and relay new connections again."""
        self._run(self._set(True))

    def close(self) -> None:
        """End all relays."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self, coroutine) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)

    async def _set(self, is_open: bool) -> None:
        if is_open:
            for writer in list(self._writers):
                writer.transport.abort()
            self._open.set()
        else:
            self._open.clear()

    async def _serve(self, address: str, target: str) -> None:
        async def relay(reader, writer):
            await self._relay(reader, writer, target)

        host, _, port = address.rpartition(":")
        await asyncio.start_server(relay, host, int(port))

    async def _relay(self, reader, writer, target: str) -> None:
        self._writers.add(writer)
        host, _, port = target.rpartition(":")
        with contextlib.suppress(OSError):
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(far_writer)
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )

    async def _pump(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
        self._writers.discard(writer)
