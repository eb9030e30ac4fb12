"""Helpers for network tests: a manual clock, settings, and scripted servers on loopback."""

import asyncio
import heapq
import io
import itertools

from hypothesis import settings as hypothesis_settings

from flintridge import api
from flintridge.core.request import Request
from flintridge.core.response import Response
from flintridge.runtime.clock import NS_PER_MS
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import Log

FIXED = hypothesis_settings(derandomize=True, deadline=None, database=None, max_examples=150)
SETTINGS = api.Settings(
    classes=(
        api.RequestClass(name="read", deadline_ns=2000 * NS_PER_MS),
        api.RequestClass(
            name="put",
            deadline_ns=3000 * NS_PER_MS,
            effect=api.Effect.KEYED,
            deduplication_window_ns=2500 * NS_PER_MS,
        ),
    ),
    tenants=(api.Tenant(name="acme"),),
    limits=api.Limits(max_attempts=3, cancel=True, retry_after=True, max_retry_after_ns=2000 * NS_PER_MS),
    mode=api.CacheMode.ASIDE,
    origin_kind=1,
    discovery=api.DiscoveryMode.POLLED,
)


class ManualClock:
    """A clock that moves only by `advance`, which runs the timers that become due, in order."""

    def __init__(self, at: float = 10_000.0) -> None:
        self.at = at
        self.max_read_delay_ms = 0.0  # longest time that input may have waited before it was read
        self.due: list[list] = []
        self.order = itertools.count()

    def now(self) -> float:
        return self.at

    def earliest_arrival(self) -> float:
        return self.at - self.max_read_delay_ms

    def from_unix(self, unix_ms: float) -> float:
        return unix_ms - 500.0

    def call_at(self, at, call, *args):
        entry = ManualTimer([at, next(self.order), call, args])
        heapq.heappush(self.due, entry)
        return entry

    def advance(self, ms: float) -> None:
        until = self.at + ms
        while self.due and self.due[0][0] <= until:
            at, _, call, args = heapq.heappop(self.due)
            self.at = max(self.at, at)
            if call is not None:
                call(*args)
        self.at = until


class ManualTimer(list):
    def cancel(self) -> None:
        self[2] = None


class RecordedStream:
    """A streamed response that records its chunks; it is writable while `open` is set."""

    def __init__(self, length: int) -> None:
        self.length = length
        self.pieces: list[bytes] = []
        self.open = asyncio.Event()
        self.open.set()
        self.ended: str | None = None
        self.on_client_closed = lambda: None

    async def wait_writable(self) -> None:
        await self.open.wait()

    def write(self, pieces: list[bytes]) -> None:
        self.pieces += pieces

    def end(self) -> None:
        assert self.ended is None
        self.ended = "whole"

    def abort(self) -> None:
        assert self.ended is None
        self.ended = "cut"


class RecordingResponder:
    """A responder that records its calls."""

    def __init__(self) -> None:
        self.responses: list = []

    def check_client(self) -> None:
        """The client never disconnects."""

    def hold_later_commands(self) -> bool:
        """The client sends no other command."""
        return True

    def respond(self, response: Response) -> None:
        self.responses.append(response.body)

    def start_stream(self, length: int) -> "RecordedStream":
        self.responses.append(passing := RecordedStream(length))
        return passing

    def reject(self, retry_after_ms: float) -> None:
        self.responses.append(("busy", retry_after_ms))

    def fail(self) -> None:
        self.responses.append("failed")


def make_request(
    uid: str = "a1", value: bytes | None = None, wait: float | None = 480.0, **changes
) -> Request:
    options = b"c=read,t=acme,d=480,k=5c0f"
    return Request(uid.encode(), b"key7", options, (16, 19), value, timeout_ms=wait, **changes)


def log_and_counters() -> tuple[Log, Counters]:
    return Log("test", io.BytesIO()), Counters()


async def until(condition, turns: int = 5000) -> None:
    """Run the event loop until a condition is true; limited by iterations, not by time."""
    for _ in range(turns):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition did not become true")


class ScriptedServer:
    """A server on an ephemeral port. `answer` maps each read to bytes, None (close) or "rst" (reset)."""

    def __init__(self, answer) -> None:
        self.answer = answer
        self.received: list[bytes] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> "ScriptedServer":
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0)
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)  # the event loop closes the sockets in a later iteration

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        self.writers.append(writer)
        while data := await reader.read(1 << 20):
            self.received.append(data)
            answer = self.answer(data)
            if answer == b"":
                continue
            if answer is None:
                writer.close()
                return
            if answer == "rst":
                writer.transport.abort()
                return
            writer.write(answer)
        writer.close()
