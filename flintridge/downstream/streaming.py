"""Long values streamed to a client in the order of its commands, no faster than the client reads."""

import asyncio
from collections.abc import Callable, Sequence
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

    def write(self, buffers: Sequence[bytes | bytearray]) -> None:
        """Write to the client without waiting."""

    def complete_stream(self) -> None:
        """Write the end of the value, which is complete."""

    def abort_stream(self) -> None:
        """Close the connection with the value incomplete."""

    def fail_stream(self) -> None:
        """Fail the request; nothing of the value was written."""


def _ignore_client_closed() -> None:
    """Default: nobody waits for chunks of the value."""


class ClientStream:
    """A long value that is streamed to a client once `start` was called.

    Attributes:
        on_client_closed: See `StreamedResponse.on_client_closed`.
    """

    def __init__(self, channel: StreamChannel, head: bytes) -> None:
        """Prepare a stream.

        Args:
            channel: The pending response that the stream belongs to.
            head: The response line before the value; written with the first chunks.
        """
        self._channel = channel
        self._head = head
        self._started = asyncio.Event()
        self.on_client_closed: Callable[[], None] = _ignore_client_closed

    def start(self) -> None:
        """Allow writing: all earlier responses are written."""
        self._started.set()

    def abandon(self) -> None:
        """Record that the client's connection has ended."""
        self._started.set()
        self.on_client_closed()

    async def wait_writable(self) -> None:
        """Wait until the stream was started and the client has read most of what was written.

        Raises:
            DownstreamClosedError: The client has disconnected, or has read nothing for too long.
        """
        await self._started.wait()
        try:
            await self._channel.wait_until_read()
        except (OSError, DeadlineExceededError) as error:
            raise DownstreamClosedError(repr(error)) from error

    def write(self, chunks: Sequence[bytes | bytearray]) -> None:
        """Write the next chunks; the first ones follow the response line."""
        if not chunks:
            return
        if self._head:
            chunks = [self._head, *chunks]
            self._head = b""
        self._channel.write(chunks)

    def end(self) -> None:
        """Complete the value."""
        self._channel.complete_stream()

    def abort(self) -> None:
        """End the response with the value incomplete.

        The client gets a failure if nothing of the value was written. Otherwise it gets fewer bytes than were
        announced, and the end of the stream.
        """
        if self._head:
            self._channel.fail_stream()
        else:
            self._channel.abort_stream()
