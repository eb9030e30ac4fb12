"""A discovery that is up but slow, and a whole node beside it in virtual time."""

import asyncio
import contextlib
import re
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass

from flintridge import api
from flintridge.api import DiscoveryMode, EndpointState
from flintridge.config.address import Address
from flintridge.config.node_config import NodeConfig
from flintridge.node import Node
from flintridge.runtime.clock import NS_PER_MS, SystemClock
from support.network import log_and_counters
from support.node import endpoint_list, json_response

GRACE_MS = 2_000
POLL_S = 0.005
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
NEVER_S = 3_600.0


@dataclass(frozen=True)
class Failure:
    """How a call fails.

    Attributes:
        response: What discovery writes; None: it ends the connection.
        held_s: How long it holds the call before.
    """

    response: bytes | None
    held_s: float = 0.0


class SlowDiscovery:
    """Serves a list slowly. Each call waits before it is handled, as one that waits for its turn does.

    Attributes:
        port: The port that it listens on.
        calls: The number of calls that it has received.
        calls_in_flight: The number of calls that are not answered, and whose callers have not left.
        delay_s: How long each call waits.
        next_delays_s: How long the next calls wait instead, one each.
        next_failures: How the next calls fail, one each.
        pauses_s: The pauses within each response, which is written in equal pieces.
        serves_one_at_a_time: Whether a call waits until all earlier ones have had their `delay_s`, also those
            whose caller has left.
    """

    def __init__(
        self,
        delay_s: float = 0.0,
        *,
        pauses_s: tuple[float, ...] = (),
        serves_one_at_a_time: bool = False,
    ) -> None:
        """Start with the server `s1` in service; for the arguments see the attributes."""
        self.delay_s = delay_s
        self.pauses_s = pauses_s
        self.serves_one_at_a_time = serves_one_at_a_time
        self.next_delays_s: deque[float] = deque()
        self.next_failures: deque[Failure] = deque()
        self.calls = 0
        self.calls_in_flight = 0
        self.port = 0
        self._list = endpoint_list(1, s1="in_service", s2="in_service")
        self._changed = asyncio.Event()
        self._turn = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    def change(self, revision: int, **phases: str) -> None:
        """Replace the list."""
        self._list = endpoint_list(revision, **phases)
        self._changed.set()
        self._changed = asyncio.Event()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and end all calls."""
        self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """End all calls and connections."""
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while call := await reader.readuntil(b"\r\n\r\n"):
                self.calls += 1
                if self.next_failures:
                    await self._fail(self.next_failures.popleft(), writer)
                else:
                    await self._serve_until_left(call.decode(), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _fail(self, failure: Failure, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(failure.held_s)
        if failure.response is None:
            writer.transport.abort()
        else:
            writer.write(failure.response)

    async def _serve_until_left(
        self, call: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a call; it counts as in flight until it is answered, or its caller closes the connection."""
        self.calls_in_flight += 1
        is_open = True

        def leave() -> None:
            nonlocal is_open
            self.calls_in_flight -= is_open
            is_open = False

        leaving = asyncio.create_task(_until_closed(reader))
        leaving.add_done_callback(lambda _: leave())
        try:
            await self._serve(call, writer)
        finally:
            leaving.cancel()
            leave()

    async def _serve(self, call: str, writer: asyncio.StreamWriter) -> None:
        async with self._turn if self.serves_one_at_a_time else contextlib.nullcontext():
            await asyncio.sleep(self.next_delays_s.popleft() if self.next_delays_s else self.delay_s)
        changes = re.search(r"after=(\d+)&wait_ms=(\d+)", call)
        if changes is None:
            await self._write(self._list, writer)
            return
        after, wait_ms = int(changes[1]), int(changes[2])
        if self._list["revision"] == after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_ms / 1_000)
        if self._list["revision"] == after:
            await self._write({"revision": after, "complete": False, "members": []}, writer)
        else:
            await self._write(self._list, writer)

    async def _write(self, listed: dict, writer: asyncio.StreamWriter) -> None:
        response = json_response(listed)
        size = len(response) // (len(self.pauses_s) + 1) + 1
        writer.write(response[:size])
        for number, pause_s in enumerate(self.pauses_s, 1):
            await asyncio.sleep(pause_s)
            writer.write(response[number * size : (number + 1) * size])
        await writer.drain()


async def _until_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(POLL_S)


class SlowlyNotifiedNode:
    """A node beside a slow discovery, with an outdated list in its configuration.

    Attributes:
        config: Its configuration.
        node: The node.
    """

    def __init__(self, discovery: SlowDiscovery, mode: DiscoveryMode) -> None:
        rules = api.Rules(drain_grace_ns=GRACE_MS * NS_PER_MS)
        settings = api.Settings(rules=rules, discovery=mode)
        address = Address("127.0.0.1", discovery.port)
        known = endpoint_list(1, s1="in_service", s2="in_service")
        self.config = NodeConfig("n1", Address("127.0.0.1", 0), address, 1, settings, known=known)
        self._loop = asyncio.get_running_loop()
        self.node = Node(self.config, SystemClock(self._loop), *log_and_counters())

    def state(self, server: str = "s1") -> EndpointState | None:
        """The state of a server as the policy knows it; None if it does not know the server."""
        known = self.node.core.policy_driver.policy.servers.get(server)
        return known and known.endpoint.state

    async def seconds_until(self, state: EndpointState, limit_s: float) -> float:
        """Wait until the policy knows `s1` in a state; returns how long that took."""
        started_at = self._loop.time()
        while self.state() is not state:
            assert self._loop.time() < started_at + limit_s, f"{self.state()} after {limit_s} s, not {state}"
            await asyncio.sleep(POLL_S)
        return self._loop.time() - started_at


@contextlib.asynccontextmanager
async def node_beside(discovery: SlowDiscovery, mode: DiscoveryMode) -> AsyncIterator[SlowlyNotifiedNode]:
    """A node that is not started yet, and its discovery, which listens."""
    await discovery.open()
    notified = SlowlyNotifiedNode(discovery, mode)
    try:
        yield notified
    finally:
        await notified.node.close()
        discovery.close()
