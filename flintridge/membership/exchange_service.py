"""State exchanges over TCP: queries that this node answers and sends, paced by a byte budget."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from flintridge.config.address import Address
from flintridge.errors import FlintridgeError
from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.messages import MessageCodec, MessageDroppedError, ProcessId
from flintridge.membership.state_exchange import (
    NONCE_BYTES,
    Chunk,
    Hello,
    Query,
    Rejection,
    StateExchange,
)
from flintridge.runtime.clock import Clock, DeadlineExceededError, sleep, with_timeout
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

EXCHANGE_TIMEOUT_MS = 10_000.0
MAX_SERVED_EXCHANGES = 4  # exchanges served at a time; a further connection is closed at once
WRITE_BLOCK_BYTES = 1024  # size of the blocks that the byte budget paces
READ_BYTES = 16 * WRITE_BLOCK_BYTES
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
BUDGET_RETRY_MS = 50.0  # delay before a write that the budget has no bytes for is retried


class ExchangeHandler(Protocol):
    """Answers the queries of a topic."""

    def __call__(self, query: bytes, /) -> Iterable[bytes]:
        """Return the chunks of the response, each small enough for one frame."""


class ExchangeRejectedError(FlintridgeError):
    """The other side rejected the query; the text is the reason it gave."""


class ExchangeService:
    """Serves and requests the exchanges of one process."""

    def __init__(
        self,
        process: ProcessId,
        codec: MessageCodec,
        bytes_per_s: float,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entropy: Callable[[int], bytes],
        tasks: dict[asyncio.Task[Any], None],
    ) -> None:
        """Prepare the service; `listen` begins to serve.

        Args:
            process: This process.
            codec: Codec of the fleet's messages.
            bytes_per_s: Bytes that may be written in any second.
            clock: Clock of this process, in float milliseconds.
            log: Logs errors.
            counters: Counts exchanges by their outcome.
            entropy: Returns the given number of random bytes.
            tasks: Gets the tasks that serve connections, so that the caller can cancel them after `close`.
        """
        self._process = process
        self._codec = codec
        self._budget = ByteBudget(bytes_per_s)
        self._clock = clock
        self._log = log
        self._counters = counters
        self._entropy = entropy
        self._tasks = tasks
        self._handlers: dict[str, ExchangeHandler] = {}
        self._server: asyncio.Server | None = None
        self._open_exchanges = 0
        self._closed = False

    def register(self, topic: str, handler: ExchangeHandler) -> None:
        """Answer a topic's queries from now on.

        Raises:
            ValueError: The topic has a handler already.
        """
        if topic in self._handlers:
            raise ValueError(f"topic {topic} is registered")
        self._handlers[topic] = handler

    async def listen(self, address: Address) -> None:
        """Serve at an address.

        A failure to bind it is only logged: other nodes need this node's datagrams, but not its exchanges.
        """
        try:
            self._server = await asyncio.start_server(self._on_connection, address.host, address.port)
        except OSError as error:
            self._log.event("peers_no_exchanges", address=str(address), error=str(error))

    def close(self) -> None:
        """Stop serving new connections."""
        self._closed = True
        if self._server is not None:
            self._server.close()

    # As a client

    async def request(self, address: Address, topic: str, query: bytes) -> list[bytes]:
        """Send a query to a peer and return the chunks of the whole response.

        Raises:
            OSError: The connection could not be opened, or it broke.
            DeadlineExceededError: The exchange took too long.
            MessageDroppedError: The received bytes are not a valid response.
            ExchangeRejectedError: The peer rejected the query.
        """
        return await with_timeout(self._clock, EXCHANGE_TIMEOUT_MS, self._request(address, topic, query))

    async def _request(self, address: Address, topic: str, query: bytes) -> list[bytes]:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        exchange = self._new_exchange(is_client=True)
        chunks: list[bytes] = []
        received = 0
        try:
            while True:
                await self._write_output(writer, exchange)
                data = await _read(reader)
                received += len(data)
                if received > MAX_RESPONSE_BYTES:
                    raise MessageDroppedError("long")
                for frame in exchange.receive(data):
                    match frame:
                        case Hello():
                            exchange.send_query(topic, query)
                        case Chunk(chunk, last):
                            chunks.append(chunk)
                            if last:
                                return chunks
                        case Rejection(reason):
                            raise ExchangeRejectedError(reason)
        finally:
            writer.close()

    # As a server

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._open_exchanges >= MAX_SERVED_EXCHANGES or self._closed:
            self._counters.add("peers_exchanges_rejected")
            writer.close()
            return
        self._open_exchanges += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        try:
            await with_timeout(self._clock, EXCHANGE_TIMEOUT_MS, self._serve(reader, writer))
            self._counters.add("peers_exchanges_served")
        except MessageDroppedError as dropped:
            self._counters.add(f"peers_exchanges_{dropped.reason}")
        except (OSError, DeadlineExceededError):
            self._counters.add("peers_exchanges_broken")
        except asyncio.CancelledError:
            if not self._closed:
                raise
        except Exception as error:  # the node must keep serving whatever fails here
            self._counters.add("peers_errors")
            self._log.error("peers_failed", error)
        finally:
            self._open_exchanges -= 1
            del self._tasks[task]
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        exchange = self._new_exchange(is_client=False)
        query = await self._receive_query(exchange, reader, writer)
        handler = self._handlers.get(query.topic)
        if handler is None:
            exchange.send_rejection(f"unknown topic {query.topic}")
        else:
            for chunk in handler(query.body):
                exchange.send_chunk(chunk, last=False)
                await self._write_output(writer, exchange)
            exchange.send_chunk(b"", last=True)
        await self._write_output(writer, exchange)

    async def _receive_query(
        self, exchange: StateExchange, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Query:
        query: Query | None = None
        while query is None:
            data = await _read(reader)
            for frame in exchange.receive(data):
                if isinstance(frame, Query):
                    query = frame
            await self._write_output(writer, exchange)
        return query

    def _new_exchange(self, is_client: bool) -> StateExchange:
        nonce = self._entropy(NONCE_BYTES)
        return StateExchange(
            self._codec, self._process.name, self._process.incarnation, nonce, is_client=is_client
        )

    async def _write_output(self, writer: asyncio.StreamWriter, exchange: StateExchange) -> None:
        for data in exchange.take_output():
            await self._write_paced(writer, data)

    async def _write_paced(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write within the byte budget, and no faster than the other side reads."""
        for start in range(0, len(data), WRITE_BLOCK_BYTES):
            block = data[start : start + WRITE_BLOCK_BYTES]
            # A block that is larger than the budget of a second would wait forever.
            amount = min(len(block), self._budget.per_second)
            while not self._budget.try_spend(self._clock.now(), amount):
                await sleep(self._clock, BUDGET_RETRY_MS)
            self._counters.add("peers_exchange_bytes", len(block))
            writer.write(block)
            await writer.drain()


async def _read(reader: asyncio.StreamReader) -> bytes:
    """Read the available bytes. Raises ConnectionResetError at the end of the stream."""
    data = await reader.read(READ_BYTES)
    if not data:
        raise ConnectionResetError("the peer ended the exchange")
    return data
