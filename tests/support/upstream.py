"""The upstream dispatch with one scripted server."""

import asyncio
import math
import os

from flintridge.api import Outcome
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.upstream import connection_pool
from flintridge.upstream.connection import UpstreamConnection
from flintridge.upstream.dispatcher import Dispatcher
from support.network import SETTINGS, ManualClock, log_and_counters, make_request, until

READ = b"mg key7 v O%b Pc=read,t=acme,d=480\r\n"


VALUE = b"VA 2 Oa1\r\nok\r\n"


class UpstreamHarness:
    """A Dispatcher with one server that records the results.

    With `monkeypatch`, connections are established only once `allow_connect` is set.
    """

    def __init__(
        self,
        port: int,
        *,
        max_connections: int = 8,
        flavor: str = "m2",
        settings=SETTINGS,
        start_stream=lambda *_: None,
        value_memory_bytes=1 << 30,
        monkeypatch=None,
        clock=None,
    ) -> None:
        self.clock = clock or ManualClock()
        self.endpoints = EndpointList((), ("m2", "origin"), settings, self.clock)
        entry = {"id": "s1", "host_port": f"127.0.0.1:{port}", "flavor": flavor, "phase": "in_service"}
        self.endpoints.apply({"revision": 1, "complete": True, "members": [entry]})
        self.results: list[AttemptResult] = []
        self.respond_by = math.inf
        log, self.counters = log_and_counters()
        self.dispatcher = Dispatcher(
            self.endpoints,
            settings,
            self.clock,
            max_connections,
            lambda _, result: self.results.append(result),
            log,
            self.counters,
            start_stream,
            value_memory_bytes,
            respond_by=lambda: self.respond_by,
        )
        self.connections: dict[UpstreamConnection, None] = {}
        self._record_connections()
        self.allow_connect = asyncio.Event()
        self.connects_started = 0
        if monkeypatch is not None:
            self._delay_connects(monkeypatch)

    def _record_connections(self) -> None:
        connect = self.dispatcher.pool.connect

        async def recorded(address, timeout_ms):
            connection = await connect(address, timeout_ms)
            self.connections[connection] = None
            return connection

        self.dispatcher.pool.connect = recorded

    def _delay_connects(self, monkeypatch) -> None:
        open_connection = connection_pool.open_connection

        async def delayed(address):
            self.connects_started += 1
            await self.allow_connect.wait()
            return await open_connection(address)

        monkeypatch.setattr(connection_pool, "open_connection", delayed)

    @property
    def outcomes(self) -> list[Outcome]:
        return [result.outcome for result in self.results]

    def make_attempt(self, request_id: str = "a1", value=None, wait: float = 400.0, **limits):
        """Create an attempt with a deadline in `wait` ms; `limits` are other instants, in ms from now."""
        now = self.clock.now()
        instants = {name: now + after for name, after in limits.items()}
        request = make_request(request_id, value=value)
        return UpstreamAttempt(request_id, 0, "s1", request, now, now + wait, **instants)

    async def start(self, **changes) -> UpstreamAttempt:
        attempt = self.make_attempt(**changes)
        self.dispatcher.start(attempt)
        await asyncio.sleep(0)
        return attempt

    async def result(self, **changes) -> AttemptResult:
        count = len(self.results)
        await self.start(**changes)
        await until(lambda: len(self.results) > count)
        return self.results[-1]

    async def outcome(self, **changes) -> Outcome:
        return (await self.result(**changes)).outcome


def disconnect_client(_harness, attempt) -> None:
    attempt.request_ended = True  # the core sets this when a request ends


def pass_write_deadline(harness, _attempt) -> None:
    harness.clock.advance(201)


async def advance_time(harness, ms: int) -> None:
    """Advance the clock by `ms` in steps of 1 ms, with some event loop iterations after each step."""
    for _ in range(ms):
        harness.clock.advance(1)
        for _ in range(4):
            await asyncio.sleep(0)


class FaultySocket:
    """A connection's socket whose calls fail as the test sets.

    Attributes:
        send_error: The errno that each send raises; 0 for none.
        recv_error: The errno that each receive raises; 0 for none.
        max_send: Maximum number of bytes per send.
        sent: Number of bytes sent.
        on_send: Called with the bytes of each send before they are sent.
    """

    def __init__(self, transport) -> None:
        self.sock = transport._sock
        self.send_error = self.recv_error = 0
        self.max_send = 1 << 30
        self.sent = 0
        self.on_send = lambda _: None
        transport._sock = self

    def __getattr__(self, name: str):
        return getattr(self.sock, name)

    def send(self, data) -> int:
        if self.send_error:
            raise OSError(self.send_error, os.strerror(self.send_error))
        self.on_send(bytes(data[: self.max_send]))
        count = self.sock.send(data[: self.max_send])
        self.sent += count
        return count

    def recv(self, size: int) -> bytes:
        data = self.sock.recv(size)
        if self.recv_error:
            raise OSError(self.recv_error, os.strerror(self.recv_error))
        return data


def on_connect(harness, make) -> list[FaultySocket]:
    """Wrap the sockets of new connections in FaultySocket; `make` is called with each."""
    sockets: list[FaultySocket] = []
    connect = harness.dispatcher.pool.connect

    async def connected(*where):
        connection = await connect(*where)
        sockets.append(FaultySocket(connection.writer.transport))
        make(sockets[-1])
        return connection

    harness.dispatcher.pool.connect = connected
    return sockets


def http_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
