"""Relays that put the lab's simulated links between real processes, one for each direction of each pair.

Node `a` sends to its peer `b` at the address of the relay from a to b. The relay loses, delays and duplicates
datagrams as the link from a to b does. On a stream, bytes from b to a are subject to the link from b to a.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from flintridge.lab.fabric import RunClock
from flintridge.lab.world.link import UP, SimulatedLink

CHUNK_BYTES = 16 * 1024
CUT_POLL_INTERVAL_MS = 20.0  # between two checks of a stream whether its cut link is up again

SocketAddress = tuple[str, int]
DatagramObserver = Callable[[str, str, bytes, str], None]  # source, target, data, outcome


@dataclass(slots=True, frozen=True)
class RelayRoute:
    """The nodes, addresses and links of a relay.

    Attributes:
        source: The node whose datagrams and streams are forwarded.
        target: The node that they are forwarded to.
        listen_address: The address at which the relay receives them.
        target_address: The address at which `target` receives them.
        forward_link: The link from `source` to `target`.
        return_link: The link from `target` to `source`.
    """

    source: str
    target: str
    listen_address: SocketAddress
    target_address: SocketAddress
    forward_link: SimulatedLink
    return_link: SimulatedLink


class Relay:
    """Forwards datagrams and streams along a route."""

    def __init__(self, route: RelayRoute, clock: RunClock, observe: DatagramObserver) -> None:
        """Prepare a relay.

        Args:
            route: The nodes, addresses and links.
            clock: The clock of the run.
            observe: Called with each datagram and its outcome: passed, doubled, lost or cut.
        """
        self.route = route
        self._clock = clock
        self._observe = observe
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._stream_tasks: dict[asyncio.Task[Any], None] = {}  # in the order of their start
        self._is_closed = False

    async def open(self) -> None:
        """Listen for datagrams and streams.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        address = self.route.listen_address
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self), local_addr=address
        )
        self._transport = transport
        self._server = await asyncio.start_server(self._serve_stream, *address)

    def close(self) -> None:
        """Stop listening, and end all streams."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for task in list(self._stream_tasks):
            task.cancel()

    @property
    def stream_count(self) -> int:
        """How many streams are open."""
        return len(self._stream_tasks)

    # Datagrams

    def relay_datagram(self, data: bytes) -> None:
        """Lose, delay or duplicate a datagram as the forward link does."""
        link = self.route.forward_link
        if link.state != UP:
            self._report(data, "cut")
        elif link.lost():
            self._report(data, "lost")
        else:
            outcomes = ("passed", "doubled") if link.duplicated() else ("passed",)
            for outcome in outcomes:
                delay_ms = link.delay(self._clock.now(), len(data))
                self._clock.call_later(delay_ms, self._deliver, data, outcome)

    def _report(self, data: bytes, outcome: str) -> None:
        self._observe(self.route.source, self.route.target, data, outcome)

    def _deliver(self, data: bytes, outcome: str) -> None:
        if self._is_closed or self._transport is None:
            return
        if self.route.forward_link.state != UP:  # the link was cut while the datagram was in flight
            self._report(data, "cut")
            return
        self._report(data, outcome)
        self._transport.sendto(data, self.route.target_address)

    # Streams

    async def _serve_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._stream_tasks[task] = None
        target_writer: asyncio.StreamWriter | None = None
        route = self.route
        try:
            await self._traverse(route.forward_link, 0)
            target_reader, target_writer = await asyncio.open_connection(*route.target_address)
            await asyncio.gather(
                self._copy(reader, target_writer, route.forward_link),
                self._copy(target_reader, writer, route.return_link),
            )
        except OSError:
            pass  # one side closed its connection; the aborts below close the other one
        except asyncio.CancelledError:
            if not self._is_closed:
                raise
        finally:
            del self._stream_tasks[task]
            writer.transport.abort()
            if target_writer is not None:
                target_writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: SimulatedLink
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._traverse(link, len(data))
            writer.write(data)
            await writer.drain()
        await self._traverse(link, 0)
        if writer.can_write_eof():
            writer.write_eof()

    async def _traverse(self, link: SimulatedLink, size: int) -> None:
        """Wait as long as `size` bytes take on the link, and as long as the link is cut.

        A stream loses no bytes, so it waits for a cut link.
        """
        is_up = link.state == UP
        while not is_up:
            await asyncio.sleep(CUT_POLL_INTERVAL_MS / 1000)
            is_up = link.state == UP
        await asyncio.sleep(link.delay(self._clock.now(), size) / 1000)


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._relay.relay_datagram(data)
