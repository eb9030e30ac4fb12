"""Calls to discovery: GETs on one connection, which is opened where there is none."""

import asyncio

from flintridge.config.address import Address
from flintridge.net.origin import HttpExchange
from flintridge.runtime.streams import CountingReader, holds_bytes, open_stream, spent

MAX_LIST_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024


class DiscoveryClient:
    """One connection to discovery."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._streams: tuple[CountingReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str) -> bytes:
        """The body of discovery's response.

        Raises:
            OSError: There is no connection, or it ended.
            ValueError: Discovery answered with an error.
            h11.RemoteProtocolError: What it sent is no HTTP.
        """
        reader, writer = await self._connection()
        host = f"{self._address.host}:{self._address.port}".encode()
        exchange = HttpExchange(b"GET", target.encode(), [(b"Host", host)], limit=MAX_LIST_BYTES)
        writer.writelines(exchange.encode_request())
        await writer.drain()
        while True:
            data = await reader.read(READ_BYTES)
            found = exchange.feed(data)
            if found is not None:
                break
            if not data:
                raise ConnectionResetError("discovery ended the connection")
        if not exchange.reusable:
            self.close()
        response, body = found
        if response.status_code != 200:
            raise ValueError(f"discovery answered {response.status_code}")
        return body

    async def _connection(self) -> tuple[CountingReader, asyncio.StreamWriter]:
        if self._streams is not None:
            reader, writer = self._streams
            # Guards against an old list, read as this call's response: it would undo what came since.
            if spent(reader, writer) or holds_bytes(writer.transport):
                self.close()
        if self._streams is None:
            reader = CountingReader(asyncio.get_running_loop())
            writer = await open_stream(reader, self._address.host, self._address.port)
            self._streams = reader, writer
        return self._streams

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
