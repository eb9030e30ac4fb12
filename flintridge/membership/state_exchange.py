"""An exchange between two peers over one connection: what is too long for datagrams. Fed bytes, without I/O.

    caller:  FS, version, Hello        -> a fresh nonce of its own
    called:  FS, version, Hello        -> and one of the called
    caller:  Ask(topic, bytes)         -> sealed with both nonces, the direction and the frame's number
    called:  Piece(bytes, last) ...    -> or Refusal(reason)

Frames are a length of four bytes, the seal and MessagePack. A frame of another connection, of the other
direction or out of its turn is refused by its seal; so is a replayed call, as the called side's nonce is new
each time.
"""

import struct
from enum import Enum, auto
from typing import Annotated

import msgspec
from msgspec import Meta

from flintridge.membership.messages import SEAL, VERSION, MessageDroppedError, Name, Number, Wire

MAGIC = b"FS"
NONCE = 16
LONGEST_FRAME = 64 * 1024
MOST_PIECES = 4096  # of one exchange
LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    fleet: Name
    name: Name
    life: Number
    nonce: Annotated[bytes, Meta(min_length=NONCE, max_length=NONCE)]


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=2):
    topic: Name
    about: bytes


class Piece(msgspec.Struct, array_like=True, frozen=True, tag=3):
    data: bytes
    last: bool


class Refusal(msgspec.Struct, array_like=True, frozen=True, tag=4):
    reason: Annotated[str, Meta(max_length=200)]


Frame = Hello | Ask | Piece | Refusal

_encoder = msgspec.msgpack.Encoder()
_frames = msgspec.msgpack.Decoder(Frame)


class At(Enum):
    """Where an exchange stands: what may come next."""

    PREFACE = auto()
    HELLO = auto()
    ASK = auto()  # called only
    PIECES = auto()  # caller only
    OVER = auto()


# What may come in each state, by side; whatever else comes breaks the exchange.
MAY_COME: dict[tuple[bool, At], tuple[type[Frame], ...]] = {
    (True, At.HELLO): (Hello,),
    (True, At.PIECES): (Piece, Refusal),
    (False, At.HELLO): (Hello,),
    (False, At.ASK): (Ask,),
}


class Exchange:
    """One side of one connection. `feed` gives the frames that are whole; what is to be written is taken
    from `take`. Raises MessageDroppedError for bytes that cannot belong to it: the connection then ends."""

    def __init__(self, wire: Wire, name: str, life: int, nonce: bytes, calls: bool) -> None:
        """`nonce`: NONCE random bytes, never used before; `calls`: this side opened the connection."""
        self.state = At.PREFACE
        self.peer: tuple[str, int] | None = None  # name and life, once it said so
        self._wire = wire
        self._me = Hello(wire.fleet, name, life, nonce)
        self._calls = calls
        self._salt = b""
        self._data = bytearray()
        self._out: list[bytes] = []
        self._sent = self._got = self._pieces = 0
        if calls:
            self._out.append(MAGIC + bytes([VERSION]))
            self._put(self._me)

    def take(self) -> list[bytes]:
        out, self._out = self._out, []
        return out

    def ask(self, topic: str, about: bytes) -> None:
        """Once the other side has said its Hello."""
        self._put(Ask(topic, about))

    def tell(self, data: bytes, last: bool) -> None:
        self._put(Piece(data, last))
        if last:
            self.state = At.OVER

    def refuse(self, reason: str) -> None:
        self._put(Refusal(reason))
        self.state = At.OVER

    def feed(self, data: bytes) -> list[Frame]:
        """What came, in order. Raises MessageDroppedError."""
        self._data += data
        frames: list[Frame] = []
        if self.state is At.PREFACE:
            if len(self._data) < len(MAGIC) + 1:
                return frames
            if not self._data.startswith(MAGIC):
                raise MessageDroppedError("foreign")
            if self._data[len(MAGIC)] != VERSION:
                raise MessageDroppedError("version")
            del self._data[: len(MAGIC) + 1]
            self.state = At.HELLO
        seal = len(self._wire.seal(b""))
        while len(self._data) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._data)
            if length > LONGEST_FRAME:
                raise MessageDroppedError("long")
            end = LENGTH.size + seal + length
            if len(self._data) < end:
                break
            said, body = (
                bytes(self._data[LENGTH.size : LENGTH.size + seal]),
                bytes(self._data[end - length : end]),
            )
            del self._data[:end]
            frames.append(self._frame(said, body))
        return frames

    def _frame(self, seal: bytes, body: bytes) -> Frame:
        if seal != self._wire.seal(body, self._salted(not self._calls, self._got)):
            raise MessageDroppedError("unsealed")
        self._got += 1
        try:
            frame = _frames.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MessageDroppedError("malformed") from error
        if not isinstance(frame, MAY_COME.get((self._calls, self.state), ())):
            raise MessageDroppedError("out_of_turn")
        match frame:
            case Hello(fleet, name, life, nonce):
                if fleet != self._wire.fleet:
                    raise MessageDroppedError("fleet")
                self.peer = name, life
                if self._calls:
                    self._salt, self.state = self._me.nonce + nonce, At.PIECES
                else:
                    self._out.append(MAGIC + bytes([VERSION]))
                    self._put(self._me)
                    self._salt, self.state = nonce + self._me.nonce, At.ASK
            case Ask():
                self.state = At.OVER  # nothing more may come; what is told goes the other way
            case Piece(_, last):
                self._pieces += 1
                if last:
                    self.state = At.OVER
                elif self._pieces >= MOST_PIECES:
                    raise MessageDroppedError("long")
            case Refusal():
                self.state = At.OVER
        return frame

    def _salted(self, by_caller: bool, number: int) -> bytes:
        return self._salt + b"%c%b" % (by_caller, LENGTH.pack(number))

    def _put(self, frame: Frame) -> None:
        body = _encoder.encode(frame)
        seal = self._wire.seal(body, self._salted(self._calls, self._sent))
        assert len(seal) in (0, SEAL)
        self._sent += 1
        self._out.append(LENGTH.pack(len(body)) + seal + body)
