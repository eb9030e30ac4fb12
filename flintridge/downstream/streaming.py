"""Long values streamed to a client, each in its turn and no faster than the client reads."""

import asyncio
from typing import Protocol

from flintridge.core.response import DownstreamClosedError
from flintridge.runtime.clock import DeadlineExceededError


class StreamChannel(Protocol):
    """The pending response that a streamed value belongs to."""

    async def wait_until_read(self) -> None:
        """Wait until the client has read most of what was written.

        Raises:
            DeadlineExceededError: The client reads nothing at all.
            OSError: The connection has ended.
        """

    def write(self, buffers: list[bytes]) -> None:
        """Write to the client at once."""

    def complete_stream(self) -> None:
        """The value is whole."""

    def abort_stream(self) -> None:
        """The value stays incomplete."""


class ClientStream:
    """A long value on its way to a client. Written from its turn on, which comes with `start`."""

    def __init__(self, channel: StreamChannel, head: bytes) -> None:
        """Wait for the turn.

        Args:
            channel: The pending response that it belongs to.
            head: What stands before the value; written with the first chunks.
        """
        self._channel = channel
        self._head = head
        self._started = asyncio.Event()

    def start(self) -> None:
        """All responses before it are written, or the connection has ended."""
        self._started.set()

    async def wait_writable(self) -> None:
        """Wait until it is this value's turn and the client has read most of what was written.

        Raises:
            DownstreamClosedError: The client is gone, or reads nothing for too long.
        """
        await self._started.wait()
        try:
            await self._channel.wait_until_read()
        except (OSError, DeadlineExceededError) as error:
            raise DownstreamClosedError(repr(error)) from error

    def write(self, chunks: list[bytes]) -> None:
        """Write the next chunks."""
        if self._head:
            chunks = [self._head, *chunks]
            self._head = b""
        if chunks:
            self._channel.write(chunks)

    def end(self) -> None:
        """The value is complete."""
        self._channel.complete_stream()

    def abort(self) -> None:
        """End it incomplete: the client has fewer bytes than the head announced, and sees the end."""
        self._channel.abort_stream()
