"""A strict reader of what a node writes to its clients. It shares nothing with the node, nor its mistakes."""

from typing import NamedTuple

from flintridge.lab.records import body_digest

MAX_LINE = 2048  # bytes
MAX_VALUE = 64 * 1024
TEXT = 120  # characters of a line that are kept
KINDS = (b"VA ", b"HD ", b"SERVER_ERROR ", b"CLIENT_ERROR", b"ERROR\r", b"MN\r")


class Answer(NamedTuple):
    """One answer: served, refused, failed, error, ready (of `mn`), or garbled: then no more is read."""

    kind: str
    text: str
    uid: str = ""  # that it names
    receipt: bool = False  # served, and by a write's receipt
    body_digest: str = ""  # of the value or receipt
    retry_after_ms: float = 0.0


class AnswerReader:
    """Answers in their order out of bytes in any cuts."""

    __slots__ = ("_buffer", "_dead", "_head", "_length")

    def __init__(self) -> None:
        self._buffer = b""
        self._head: Answer | None = None  # of a value that is not whole yet
        self._length = 0
        self._dead = False

    @property
    def partial(self) -> bool:
        """An answer has begun and is not whole."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes) -> list[Answer]:
        """What is whole now. Once an answer was garbled, nothing more is read."""
        found: list[Answer] = []
        if self._dead:
            return found
        buffer = self._buffer + data if self._buffer else data
        at = 0
        while True:
            if self._head is None:
                end = buffer.find(b"\r\n", at)
                if end < 0 or end - at > MAX_LINE:
                    if len(buffer) - at > MAX_LINE or not _may_begin(buffer[at : at + 16]):
                        found.append(self._garble(buffer[at : at + TEXT]))
                    break
                answer = self._line(buffer[at:end])
                at = end + 2
                if answer is None:
                    continue
            else:
                end = at + self._length
                if len(buffer) < end + 2:
                    break
                answer = self._value(buffer[at:end], buffer[end : end + 2])
                at = end + 2
            found.append(answer)
            if self._dead:
                break
            if at == len(buffer):
                break
        self._buffer = b"" if self._dead else buffer[at:]
        return found

    def _garble(self, line: bytes) -> Answer:
        self._dead = True
        self._head = None
        return Answer("garbled", _text(line))

    def _line(self, line: bytes) -> Answer | None:
        """The answer; None where a value is to follow."""
        parts = line.split(b" ")
        match parts[0]:
            case b"VA" if len(parts) == 3 and _is_length(parts[1]) and _is_id(parts[2]):
                self._length = int(parts[1])
                self._head = Answer("served", _text(line), _id(parts[2]))
                return None
            case b"HD" if len(parts) == 3 and _is_id(parts[1]) and len(parts[2]) > 1 and parts[2][:1] == b"c":
                return Answer("served", _text(line), _id(parts[1]), True, body_digest(parts[2][1:]))
            case b"SERVER_ERROR" if len(parts) > 1:
                return self._server_error(parts, line)
            case b"CLIENT_ERROR":
                return Answer("error", _text(line))
            case b"ERROR" if len(parts) == 1:
                return Answer("error", _text(line))
            case b"MN" if len(parts) == 1:
                return Answer("ready", _text(line))
        return self._garble(line)

    def _server_error(self, parts: list[bytes], line: bytes) -> Answer:
        if parts[1] != b"busy":
            return Answer("failed", _text(line))
        if len(parts) == 2:
            return Answer("refused", _text(line))
        if len(parts) == 3 and parts[2].isdigit() and len(parts[2]) < 10:
            return Answer("refused", _text(line), retry_after_ms=float(parts[2]))
        return self._garble(line)

    def _value(self, body: bytes, end: bytes) -> Answer:
        head, self._head = self._head, None
        assert head is not None
        if end != b"\r\n":
            return self._garble(head.text.encode())
        return Answer("served", head.text, head.uid, False, body_digest(body))


def _text(line: bytes) -> str:
    return line[:TEXT].decode("ascii", "replace")


def _may_begin(head: bytes) -> bool:
    """Noise without an end of line shows by its first bytes; nobody should wait for that end."""
    return any(head.startswith(kind[: len(head)]) for kind in KINDS)


def _is_length(text: bytes) -> bool:
    """Plain digits without needless zeros, no more than a value may hold."""
    return text.isdigit() and len(text) <= 5 and int(text) <= MAX_VALUE and (text == b"0" or text[:1] != b"0")


def _is_id(text: bytes) -> bool:
    return len(text) > 1 and text[:1] == b"O" and text.isascii()


def _id(text: bytes) -> str:
    return text[1:].decode("ascii")
