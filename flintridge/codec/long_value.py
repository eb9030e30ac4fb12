"""Sizes of values, and the reader for a value in a server's response that needs reserved memory."""

from flintridge.codec.errors import MalformedError
from flintridge.core.response import AttemptResult

# A larger value is received only after memory was reserved for it, from a client as well as from a server.
UNRESERVED_VALUE_BYTES = 2 * 1024
# A larger value is a long value: it is forwarded in chunks when read.
LONG_VALUE_BYTES = 64 * 1024
MAX_VALUE_BYTES = 4 * 1024 * 1024


class ValueReader:
    """Splits an arriving value into chunks, and withholds its last byte until its terminator is valid.

    Guards the client against accepting a value as complete although its terminator was malformed: in that
    case the client never gets the last byte.

    Attributes:
        length: The length of the value, in bytes.
        result: The attempt's result according to the response head, without the value itself.
    """

    def __init__(self, length: int, result: AttemptResult) -> None:
        self.length = length
        self.result = result
        self._bytes_missing = length
        self._terminator = b""  # the bytes of the terminator that have arrived
        self._chunks: list[bytes] = []
        self._last_byte = b""

    @property
    def received_bytes(self) -> int:
        """How many bytes of the value have arrived."""
        return self.length - self._bytes_missing

    def feed(self, data: bytes, terminator: bytes) -> bytes | None:
        """Process bytes of the value and of its terminator.

        Args:
            data: The next bytes of the response.
            terminator: The bytes that must follow the value; may be empty.

        Returns:
            The bytes after the terminator once it is complete, otherwise None.

        Raises:
            MalformedError: The value is not followed by the terminator.
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
        """Consume the value's bytes at the start of `data`, and return the rest."""
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
        """Remove and return the chunks that have arrived since the last call."""
        chunks = self._chunks
        self._chunks = []
        return chunks
