"""Reader for a long value in a server's response, which is forwarded in chunks while it arrives."""

from flintridge.codec.errors import MalformedError
from flintridge.core.response import AttemptResult

# A value beyond this is long: it is forwarded in chunks, and one that a client writes needs reserved memory.
LONG_VALUE_BYTES = 64 * 1024
MAX_VALUE_BYTES = 4 * 1024 * 1024


class LongValueReader:
    """A long value as it arrives. Its last byte is withheld until its terminator was seen.

    Guards the client against taking a value for complete whose terminator was malformed: the client does not
    get the last byte then.

    Attributes:
        length: Of the value, in bytes.
        result: What the server said ahead of the value, which is not part of it.
    """

    def __init__(self, length: int, result: AttemptResult) -> None:
        self.length = length
        self.result = result
        self._bytes_missing = length
        self._terminator = b""  # as far as it has come
        self._chunks: list[bytes] = []
        self._last_byte = b""

    def feed(self, data: bytes, terminator: bytes) -> bytes | None:
        """Take bytes of the value and of what ends it.

        Args:
            data: The next bytes of the response.
            terminator: What has to follow the value; may be empty.

        Returns:
            The bytes behind the terminator once it is complete, else None.

        Raises:
            MalformedError: Something else follows the value.
        """
        if self._bytes_missing:
            data = self._take_value_bytes(data)
            if self._bytes_missing:
                return None
        missing = len(terminator) - len(self._terminator)
        self._terminator += data[:missing]
        if not terminator.startswith(self._terminator):
            raise MalformedError("bad data chunk")
        if self._terminator != terminator:
            return None
        self._chunks.append(self._last_byte)
        self._last_byte = b""
        return data[missing:]

    def _take_value_bytes(self, data: bytes) -> bytes:
        """Take what `data` has of the value; the rest of it."""
        chunk = data[: self._bytes_missing]
        rest = data[self._bytes_missing :]
        self._bytes_missing -= len(chunk)
        if not self._bytes_missing:
            self._last_byte = chunk[-1:]
            chunk = chunk[:-1]
        if chunk:
            self._chunks.append(chunk)
        return rest

    def take_chunks(self) -> list[bytes]:
        """The chunks that have come since the last call; they are the caller's."""
        chunks = self._chunks
        self._chunks = []
        return chunks
