"""Incremental parser for the lines and counted data blocks of a memcache server's responses."""

from flintridge.codec.errors import MalformedError
from flintridge.codec.memcache.syntax import CRLF, MAX_LINE_BYTES


class ResponseParser:
    """Splits bytes, which may arrive in arbitrary pieces, into lines and data blocks."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def empty(self) -> bool:
        """Whether all bytes that were fed have been taken."""
        return not self._buffer

    def feed(self, data: bytes) -> None:
        """Append the next bytes of the response."""
        self._buffer += data

    def take_line(self, prefixes: tuple[bytes, ...]) -> bytes | None:
        """Remove and return the next line without its CRLF; returns None while it is incomplete.

        Args:
            prefixes: The valid starts of a line. Garbage is rejected by its first bytes, without waiting for
                the end of a line.

        Raises:
            MalformedError: The line has another start, or is too long.
        """
        end = self._buffer.find(CRLF)
        if not any(self._buffer.startswith(prefix[: len(self._buffer)]) for prefix in prefixes):
            raise MalformedError("line does not start like a response")
        if end < 0 and len(self._buffer) <= MAX_LINE_BYTES:
            return None
        if not 0 <= end <= MAX_LINE_BYTES:
            raise MalformedError("line too long")
        line = bytes(memoryview(self._buffer)[:end])
        del self._buffer[: end + len(CRLF)]
        return line

    def take_block(self, length: int) -> bytes | None:
        """Remove and return the next `length` bytes, without the CRLF after them; None while incomplete.

        Raises:
            MalformedError: The bytes are not followed by CRLF.
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
        """Remove and return all bytes that have not been taken yet."""
        rest = bytes(self._buffer)
        self._buffer = bytearray()
        return rest
