"""Calls to discovery: GETs on one connection, which is opened where there is none."""

import asyncio
from dataclasses import dataclass

import h11

from flintridge.codec.http.date import parse_date_ms
from flintridge.codec.http.exchange import HttpExchange, header_value
from flintridge.config.address import Address
from flintridge.runtime.clock import Clock, sleep
from flintridge.runtime.local_failure import is_local_failure
from flintridge.runtime.streams import TrackingReader, has_pending_input, is_reusable, open_connection

MAX_LIST_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024

# Where this machine has no port, buffer, descriptor or route for a moment. The policy's pause after a failed
# call is up to 2 s, and grows: a few in a row would outlast the 6 s after which a change counts as notified.
LOCAL_FAILURE_PAUSE_MS = 20.0
MAX_LOCAL_FAILURES = 15


@dataclass(slots=True, frozen=True)
class DiscoveryResponse:
    """What discovery answered.

    Attributes:
        body: Its JSON.
        date_ms: Unix time by its `Date` header in milliseconds, of whole seconds; None where it has none.
    """

    body: bytes
    date_ms: float | None = None


@dataclass(slots=True, frozen=True)
class _Streams:
    """Both directions of an open connection."""

    reader: TrackingReader
    writer: asyncio.StreamWriter


def date_header_ms(head: h11.Response) -> float | None:
    """Unix time by a response's `Date` header in milliseconds; None where it has none that can be read."""
    value = header_value(head, b"date")
    return None if value is None else parse_date_ms(value)


class DiscoveryClient:
    """One connection to discovery."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Make a client without a connection; `clock` times the pauses between attempts to connect."""
        self._address = address
        self._clock = clock
        self._streams: _Streams | None = None

    async def get(self, target: str) -> DiscoveryResponse:
        """Discovery's response.

        Raises:
            OSError: There is no connection, or it ended.
            ValueError: Discovery answered with an error.
            h11.RemoteProtocolError: What it sent is no HTTP.
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
                raise ConnectionResetError("discovery ended the connection")
        if not exchange.reusable:
            self.close()
        if response.head.status_code != 200:
            raise ValueError(f"discovery answered {response.head.status_code}")
        return DiscoveryResponse(response.body, date_header_ms(response.head))

    async def _connection(self) -> _Streams:
        if self._streams is not None:
            reader = self._streams.reader
            writer = self._streams.writer
            # Guards against an old list, read as this call's response: it would undo what came since.
            if not is_reusable(reader, writer) or has_pending_input(writer.transport):
                self.close()
        if self._streams is None:
            self._streams = await self._connect()
        return self._streams

    async def _connect(self) -> _Streams:
        """Open a connection, again after a pause while this machine fails.

        Raises:
            OSError: There is none.
        """
        failures = 0
        while True:
            reader = TrackingReader(asyncio.get_running_loop())
            try:
                writer = await open_connection(reader, self._address.host, self._address.port)
                return _Streams(reader, writer)
            except OSError as error:
                failures += 1
                if failures > MAX_LOCAL_FAILURES or not is_local_failure(error):
                    raise
            await sleep(self._clock, LOCAL_FAILURE_PAUSE_MS)

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._streams is not None:
            self._streams.writer.close()
            self._streams = None
