"""Incremental parser for the lines and counted data blocks of a memcache server's responses."""

from flintridge.codec.errors import MalformedError
from flintridge.codec.memcache.syntax import CRLF, MAX_LINE_BYTES


class ResponseParser:
    """Lines and data blocks, out of bytes that arrive in any cuts."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def empty(self) -> bool:
        """Whether all that was fed has been taken."""
        return not self._buffer

    def feed(self, data: bytes) -> None:
        """Take the next bytes."""
        self._buffer += data

    def take_line(self, prefixes: tuple[bytes, ...]) -> bytes | None:
        """The next line without its CRLF; None while it is incomplete.

        Args:
            prefixes: The line has to begin with one of them. Noise shows by its first bytes, so its end is
                not awaited.

        Raises:
            MalformedError: It begins otherwise, or is too long.
        """
        end = self._buffer.find(CRLF)
        if not any(self._buffer.startswith(prefix[: len(self._buffer)]) for prefix in prefixes):
            raise MalformedError("no line of a response")
        if end < 0 and len(self._buffer) <= MAX_LINE_BYTES:
            return None
        if not 0 <= end <= MAX_LINE_BYTES:
            raise MalformedError("line too long")
        line = bytes(memoryview(self._buffer)[:end])
        del self._buffer[: end + len(CRLF)]
        return line

    def take_block(self, length: int) -> bytes | None:
        """The next `length` bytes, without the CRLF that has to follow; None while they are incomplete.

        Raises:
            MalformedError: Something else follows them.
        """
        end = length + len(CRLF)
        if len(self._buffer) < end:
            return None
        if self._buffer[length:end] != CRLF:
            raise MalformedError("bad data chunk")
        block = bytes(memoryview(self._buffer)[:length])
        del self._buffer[:end]
        return block

    def take_rest(self) -> bytes:
        """All that has been fed and not taken yet."""
        rest = bytes(self._buffer)
        self._buffer = bytearray()
        return rest
