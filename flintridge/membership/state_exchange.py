"""One side of a TCP connection between two members: a query and its response in frames, without I/O.

    client:  FS, version, Hello          -> with a new nonce of the client
    server:  FS, version, Hello          -> with a new nonce of the server
    client:  Query(topic, bytes)         -> authenticated with both nonces, direction and the frame's number
    server:  Chunk(bytes, last) ...      -> or Rejection(reason)

A frame consists of a length of four bytes, the authentication tag and a body in MessagePack. A frame of
another connection, of the other direction or out of order is rejected by its tag. So is a replayed query, as
the server's nonce is new for each connection.
"""

import hmac
import struct
from enum import Enum, auto
from typing import Annotated

import msgspec
from msgspec import Meta

from flintridge.membership.messages import (
    TAG_BYTES,
    VERSION,
    MessageCodec,
    MessageDroppedError,
    Name,
    Number,
    ProcessId,
)

MAGIC = b"FS"
NONCE_BYTES = 16
MAX_FRAME_BYTES = 64 * 1024
MAX_CHUNKS = 4096  # in one exchange
LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The first frame of each side."""

    fleet: Name
    name: Name
    incarnation: Number
    nonce: Annotated[bytes, Meta(min_length=NONCE_BYTES, max_length=NONCE_BYTES)]


class Query(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The client's only query."""

    topic: Name
    body: bytes


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A part of the server's response."""

    data: bytes
    last: bool


class Rejection(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The server rejects the query."""

    reason: Annotated[str, Meta(max_length=200)]


Frame = Hello | Query | Chunk | Rejection

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class ExchangeState(Enum):
    """What one side of an exchange waits for."""

    PREFACE = auto()
    HELLO = auto()
    QUERY = auto()  # server only
    CHUNKS = auto()  # client only
    FINISHED = auto()


# The frames accepted by each side (True: the client) in each state; any other frame breaks the exchange.
ACCEPTED_FRAMES: dict[tuple[bool, ExchangeState], tuple[type[Frame], ...]] = {
    (True, ExchangeState.HELLO): (Hello,),
    (True, ExchangeState.CHUNKS): (Chunk, Rejection),
    (False, ExchangeState.HELLO): (Hello,),
    (False, ExchangeState.QUERY): (Query,),
}


class StateExchange:
    """One side of one connection: `receive` returns complete frames, `take_output` the bytes to be sent."""

    def __init__(
        self, codec: MessageCodec, name: str, incarnation: int, nonce: bytes, is_client: bool
    ) -> None:
        """Begin an exchange; a client's Hello is to be sent at once.

        Args:
            codec: Codec of the fleet's messages; makes the authentication tags.
            name: Name of this node.
            incarnation: Incarnation of this process.
            nonce: NONCE_BYTES random bytes, never used before.
            is_client: Whether this side opened the connection.
        """
        self.state = ExchangeState.PREFACE
        self.peer: ProcessId | None = None  # set once the peer's Hello was received
        self._codec = codec
        self._local_hello = Hello(codec.fleet, name, incarnation, nonce)
        self._is_client = is_client
        self._salt = b""
        self._received = bytearray()
        self._output: list[bytes] = []
        self._frames_sent = 0
        self._frames_received = 0
        self._chunks_received = 0
        if is_client:
            self._send_hello()

    def take_output(self) -> list[bytes]:
        """Remove and return what is to be sent, in order."""
        output = self._output
        self._output = []
        return output

    def send_query(self, topic: str, body: bytes) -> None:
        """Send the query; only after the other side's Hello was received."""
        self._send_frame(Query(topic, body))

    def send_chunk(self, data: bytes, last: bool) -> None:
        """Send a part of the response."""
        self._send_frame(Chunk(data, last))
        if last:
            self.state = ExchangeState.FINISHED

    def send_rejection(self, reason: str) -> None:
        """End the exchange without a response."""
        self._send_frame(Rejection(reason))
        self.state = ExchangeState.FINISHED

    def receive(self, data: bytes) -> list[Frame]:
        """Process received bytes, and return the frames that are complete with them, in order.

        Raises:
            MessageDroppedError: The bytes cannot belong to this exchange; the connection must be closed.
        """
        self._received += data
        frames: list[Frame] = []
        if self.state is ExchangeState.PREFACE and not self._read_preface():
            return frames
        tag_bytes = len(self._codec.tag(b""))
        while len(self._received) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._received)
            if length > MAX_FRAME_BYTES:
                raise MessageDroppedError("long")
            body_start = LENGTH.size + tag_bytes
            end = body_start + length
            if len(self._received) < end:
                break
            tag = bytes(self._received[LENGTH.size : body_start])
            body = bytes(self._received[body_start:end])
            del self._received[:end]
            frame = self._authenticated_frame(tag, body)
            self._apply(frame)
            frames.append(frame)
        return frames

    def _read_preface(self) -> bool:
        """Read the magic bytes and the version; False while they are incomplete."""
        if len(self._received) < len(MAGIC) + 1:
            return False
        if not self._received.startswith(MAGIC):
            raise MessageDroppedError("foreign")
        if self._received[len(MAGIC)] != VERSION:
            raise MessageDroppedError("version")
        del self._received[: len(MAGIC) + 1]
        self.state = ExchangeState.HELLO
        return True

    def _authenticated_frame(self, tag: bytes, body: bytes) -> Frame:
        expected_tag = self._codec.tag(body, self._frame_salt(not self._is_client, self._frames_received))
        if not hmac.compare_digest(tag, expected_tag):
            raise MessageDroppedError("unauthenticated")
        self._frames_received += 1
        try:
            frame = _decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MessageDroppedError("malformed") from error
        if not isinstance(frame, ACCEPTED_FRAMES.get((self._is_client, self.state), ())):
            raise MessageDroppedError("out_of_turn")
        return frame

    def _apply(self, frame: Frame) -> None:
        match frame:
            case Hello():
                self._apply_hello(frame)
            case Query():
                self.state = (
                    ExchangeState.FINISHED
                )  # the server receives no more frames; it sends the response
            case Chunk(_, last):
                self._chunks_received += 1
                if last:
                    self.state = ExchangeState.FINISHED
                elif self._chunks_received >= MAX_CHUNKS:
                    raise MessageDroppedError("long")
            case Rejection():
                self.state = ExchangeState.FINISHED

    def _apply_hello(self, hello: Hello) -> None:
        if hello.fleet != self._codec.fleet:
            raise MessageDroppedError("fleet")
        self.peer = ProcessId(hello.name, hello.incarnation)
        if self._is_client:
            self._salt = self._local_hello.nonce + hello.nonce
            self.state = ExchangeState.CHUNKS
        else:
            self._send_hello()
            self._salt = hello.nonce + self._local_hello.nonce
            self.state = ExchangeState.QUERY

    def _send_hello(self) -> None:
        self._output.append(MAGIC + bytes([VERSION]))
        self._send_frame(self._local_hello)

    def _frame_salt(self, by_client: bool, number: int) -> bytes:
        return self._salt + b"%c%b" % (by_client, LENGTH.pack(number))

    def _send_frame(self, frame: Frame) -> None:
        body = _encoder.encode(frame)
        tag = self._codec.tag(body, self._frame_salt(self._is_client, self._frames_sent))
        assert len(tag) in (0, TAG_BYTES)
        self._frames_sent += 1
        self._output.append(LENGTH.pack(len(body)) + tag + body)
