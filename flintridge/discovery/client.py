"""Calls to discovery: GETs on one connection, which is opened where there is none."""

import asyncio
from dataclasses import dataclass
from datetime import UTC
from email.utils import parsedate_to_datetime

import h11

from flintridge.codec.http.exchange import HttpExchange, header_value
from flintridge.config.address import Address
from flintridge.runtime.streams import TrackingReader, has_pending_input, is_reusable, open_connection

MAX_LIST_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class DiscoveryResponse:
    """What discovery answered.

    Attributes:
        body: Its JSON.
        date_ms: Unix time by its `Date` header in milliseconds, of whole seconds; None where it has none.
    """

    body: bytes
    date_ms: float | None = None


def date_header_ms(head: h11.Response) -> float | None:
    """Unix time by a response's `Date` header in milliseconds; None where it has none that can be read."""
    value = header_value(head, b"date")
    if value is None:
        return None
    try:
        date = parsedate_to_datetime(value.decode("ascii"))
        return date.replace(tzinfo=date.tzinfo or UTC).timestamp() * 1000
    except (ValueError, OverflowError):
        return None


class DiscoveryClient:
    """One connection to discovery."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._streams: tuple[TrackingReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str) -> DiscoveryResponse:
        """Discovery's response.

        Raises:
            OSError: There is no connection, or it ended.
            ValueError: Discovery answered with an error.
            h11.RemoteProtocolError: What it sent is no HTTP.
        """
        reader, writer = await self._connection()
        host = f"{self._address.host}:{self._address.port}".encode()
        exchange = HttpExchange(b"GET", target.encode(), [(b"Host", host)], max_body_bytes=MAX_LIST_BYTES)
        writer.writelines(exchange.encode_request())
        await writer.drain()
        while True:
            data = await reader.read(READ_BYTES)
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

    async def _connection(self) -> tuple[TrackingReader, asyncio.StreamWriter]:
        if self._streams is not None:
            reader, writer = self._streams
            # Guards against an old list, read as this call's response: it would undo what came since.
            if not is_reusable(reader, writer) or has_pending_input(writer.transport):
                self.close()
        if self._streams is None:
            reader = TrackingReader(asyncio.get_running_loop())
            writer = await open_connection(reader, self._address.host, self._address.port)
            self._streams = reader, writer
        return self._streams

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
