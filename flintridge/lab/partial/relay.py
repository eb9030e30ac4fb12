"""Relays between real processes, one for each direction of each pair, over the lab's links.

Node `a` knows its peer `b` by the address of the relay from a to b, which passes on what the link from a to b
lets through, when and as often as that link has it. On a stream the bytes back go by the link from b to a.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from flintridge.lab.fabric import RunClock
from flintridge.lab.world.link import SimulatedLink

CHUNK = 16 * 1024
LOOK_MS = 20.0  # how often a stream that passes nothing looks whether its link is up again

Passed = Callable[[str, str, bytes, str], None]


class Relay:
    """From `source` to `target`. `passed` is told each datagram's fate: passed, doubled, lost, cut."""

    def __init__(
        self,
        source: str,
        target: str,
        listen: tuple[str, int],
        to: tuple[str, int],
        links: tuple[SimulatedLink, SimulatedLink],
        clock: RunClock,
        passed: Passed,
    ) -> None:
        """`links`: the way there, and the way back."""
        self.source, self.target, self.listen, self.to = source, target, listen, to
        self._out, self._back = links
        self._clock, self._passed = clock, passed
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._closed = False

    async def open(self) -> None:
        """Raises OSError where its address can't be had."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: _Datagrams(self), local_addr=self.listen)
        self._transport = transport
        self._server = await asyncio.start_server(self._accepted, *self.listen)

    def close(self) -> None:
        self._closed = True
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    @property
    def streams(self) -> int:
        """How many are open."""
        return len(self._tasks)

    # Datagrams

    def taken(self, data: bytes) -> None:
        link = self._out
        if link.state != "up":
            self._passed(self.source, self.target, data, "cut")
        elif link.lost():
            self._passed(self.source, self.target, data, "lost")
        else:
            fates = ("passed", "doubled") if link.duplicated() else ("passed",)
            for fate in fates:
                self._clock.call_later(link.delay(self._clock.now(), len(data)), self._arrive, data, fate)

    def _arrive(self, data: bytes, fate: str) -> None:
        if self._closed or self._transport is None:
            return
        up = self._out.state == "up"  # it counts when a datagram arrives, too
        self._passed(self.source, self.target, data, fate if up else "cut")
        if up:
            self._transport.sendto(data, self.to)

    # Streams

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        there: asyncio.StreamWriter | None = None
        try:
            await self._way(self._out, 0)
            answers, there = await asyncio.open_connection(*self.to)
            await asyncio.gather(
                self._pump(reader, there, self._out), self._pump(answers, writer, self._back)
            )
        except OSError:
            pass  # one side is gone: the other hears of it
        except asyncio.CancelledError:
            if not self._closed:
                raise
        finally:
            del self._tasks[task]
            for one in (writer, there):
                if one is not None:
                    one.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: SimulatedLink
    ) -> None:
        while data := await reader.read(CHUNK):
            await self._way(link, len(data))
            writer.write(data)
            await writer.drain()
        await self._way(link, 0)
        if writer.can_write_eof():
            writer.write_eof()

    async def _way(self, link: SimulatedLink, size: int) -> None:
        """A stream loses nothing: while its link is cut it stands still."""
        while link.state != "up":
            await asyncio.sleep(LOOK_MS / 1000)
        await asyncio.sleep(link.delay(self._clock.now(), size) / 1000)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._relay.taken(data)
