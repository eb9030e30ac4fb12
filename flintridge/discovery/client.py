"""Calls to discovery: GET requests on one connection, which is opened if there is none."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import h11

from flintridge.codec.http.date import parse_date_ms
from flintridge.codec.http.exchange import HttpExchange, header_value
from flintridge.config.address import Address
from flintridge.runtime.clock import Clock, sleep
from flintridge.runtime.local_failure import is_local_failure
from flintridge.runtime.streams import (
    TrackingReader,
    has_pending_input,
    is_reusable,
    limit_read_size,
    open_connection,
)

MAX_LIST_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024
HTTP_OK = 200

# Pause before another connect attempt when this machine has no port, buffer, descriptor or route at present.
# The policy's pause after a failed call is up to 2 s, and grows. A few of these in a row would last longer
# than the 6 s after which a change counts as notified.
LOCAL_FAILURE_PAUSE_MS = 20.0
MAX_LOCAL_FAILURES = 15


@dataclass(slots=True, frozen=True)
class DiscoveryResponse:
    """A response of discovery.

    Attributes:
        body: The JSON text.
        date_ms: Unix time of its `Date` header in milliseconds, with a resolution of 1 s; None without one.
    """

    body: bytes
    date_ms: float | None = None


@dataclass(slots=True, frozen=True)
class _Streams:
    """Both directions of an open connection."""

    reader: TrackingReader
    writer: asyncio.StreamWriter


def date_header_ms(head: h11.Response) -> float | None:
    """Unix time of a response's `Date` header in milliseconds; None if the header is missing or invalid."""
    value = header_value(head, b"date")
    return None if value is None else parse_date_ms(value)


class DiscoveryClient:
    """Sends calls to discovery on one connection."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Create a client without a connection; `clock` times the pauses between connect attempts."""
        self._address = address
        self._clock = clock
        self._streams: _Streams | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the connection has ended since the last response, or has unexpected input."""
        if self._streams is None:
            return False
        reader = self._streams.reader
        writer = self._streams.writer
        # An old list that is still unread must not be taken for the next call's response: it would undo newer
        # changes.
        return not is_reusable(reader, writer) or has_pending_input(writer.transport)

    async def get(self, target: str, on_progress: Callable[[], None] | None = None) -> DiscoveryResponse:
        """Send a GET request and return discovery's response.

        Args:
            target: The request target.
            on_progress: Called whenever bytes of the response have arrived.

        Raises:
            OSError: The connection could not be opened, or it ended.
            ValueError: Discovery answered with another status than 200.
            h11.RemoteProtocolError: The response is not valid HTTP.
        """
        streams = await self._connection()
        host = f"{self._address.host}:{self._address.port}".encode()
        exchange = HttpExchange(b"GET", target.encode(), [(b"Host", host)], max_body_bytes=MAX_LIST_BYTES)
        streams.writer.writelines(exchange.encode_request())
        await streams.writer.drain()
        while True:
            data = await streams.reader.read(READ_BYTES)
            response = exchange.feed(data)
            if response is not None:
                break
            if not data:
                raise ConnectionResetError("discovery closed the connection")
            if on_progress is not None:
                on_progress()
        if not exchange.reusable:
            self.close()
        if response.head.status_code != HTTP_OK:
            raise ValueError(f"discovery answered with status {response.head.status_code}")
        return DiscoveryResponse(response.body, date_header_ms(response.head))

    async def _connection(self) -> _Streams:
        if self.has_ended:
            self.close()
        if self._streams is None:
            self._streams = await self._connect()
        return self._streams

    async def _connect(self) -> _Streams:
        """Open a connection; retry after a pause while the failure is local to this machine.

        Raises:
            OSError: The connection could not be opened.
        """
        failures = 0
        while True:
            reader = TrackingReader(asyncio.get_running_loop())
            try:
                writer = await open_connection(reader, self._address.host, self._address.port)
                # A busy event loop reads once in each iteration: a long list has to take few of them.
                limit_read_size(writer.transport, READ_BYTES)
                return _Streams(reader, writer)
            except OSError as error:
                failures += 1
                if failures > MAX_LOCAL_FAILURES or not is_local_failure(error):
                    raise
            await sleep(self._clock, LOCAL_FAILURE_PAUSE_MS)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._streams is not None:
            self._streams.writer.close()
            self._streams = None
