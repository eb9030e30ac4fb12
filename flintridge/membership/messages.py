"""The bytes between peers: one datagram or frame, its seal, and all reasons to drop one.

A datagram is `FP`, a version, a seal of 16 bytes where the fleet has a key, and a packet in MessagePack. What
a later version adds stands at the end of a packet, where this one does not look; one that cannot be read so
has another number and is dropped and counted, as is a kind that is not known here.
"""

import hashlib
import hmac
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from flintridge.errors import FlintridgeError

MAGIC = b"FP"
VERSION = 1
SEAL = 16  # bytes
HEAD = len(MAGIC) + 1
LONGEST = 1200  # bytes of a datagram: it passes any usual path in one piece
MOST_ENTRIES = 64
MOST_FACTS = 16
LONGEST_KEY = 64  # bytes of a fleet's key, as BLAKE2b takes it
SHORTEST_KEY = 16

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class MessageDroppedError(FlintridgeError, ValueError):
    """What came is not taken; `reason` names the counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Kind(IntEnum):
    PING = 1  # to be answered by an ACK
    ACK = 2  # to be answered by a DONE, where it answers one's own probe
    ASK = 3  # ping the life in `about` for me
    REACHED = 4  # it answered
    TRIED = 5  # it did not answer in time; its asker learns that its own links are well
    NEWS = 6  # asks for no answer
    DONE = 7  # the answer to an answer: it proves to the probed side what it says
    FACTS = 8  # of topics, and asks for no answer


class State(IntEnum):
    """Of a life, by rank: of two words with one incarnation the higher holds."""

    ALIVE = 0
    SUSPECT = 1
    SILENT = 2
    LEFT = 3  # it said so itself; final


class Entry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What a node says of a life."""

    name: Name
    life: Number
    incarnation: Annotated[int, Meta(ge=0, lt=1 << 32)]
    state: Annotated[int, Meta(ge=0, le=3)]
    age: Annotated[int, Meta(ge=0, lt=1 << 40)]  # milliseconds since it is known to have lived


class Packet(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One datagram's content. Instants are the sender's own, in milliseconds, and mean nothing to others."""

    fleet: Name
    name: Name  # of the sender
    life: Number
    incarnation: Annotated[int, Meta(ge=0, lt=1 << 32)]
    serial: Number  # rises with each datagram of a life
    kind: Annotated[int, Meta(ge=0, lt=256)]
    ref: Number  # of a probe
    stamp: Number  # when it was sent
    to: Number = 0  # the life that is meant; 0: any of the name at this address
    echo: Annotated[int, Meta(ge=-1, le=(1 << 63) - 1)] = -1  # the newest stamp had from `to`; -1: none
    held: Number = 0  # milliseconds since that came in
    about: tuple[Name, Number] | None = None
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MOST_ENTRIES)] = ()
    facts: Annotated[tuple[tuple[Name, bytes], ...], Meta(max_length=MOST_FACTS)] = ()


_encoder = msgspec.msgpack.Encoder()
_packets = msgspec.msgpack.Decoder(Packet)


def size(part: Entry | Packet) -> int:
    """Its bytes, without head and seal."""
    return len(_encoder.encode(part))


class Wire:
    """To bytes and back, for one fleet."""

    def __init__(self, fleet: str, key: bytes | None) -> None:
        """`key`: 16 to 64 bytes, or None: nothing is sealed. Raises ValueError for another length."""
        if key is not None and not SHORTEST_KEY <= len(key) <= LONGEST_KEY:
            raise ValueError(f"a key has {SHORTEST_KEY} to {LONGEST_KEY} bytes, not {len(key)}")
        self.fleet = fleet
        self._key = key

    @property
    def head(self) -> int:
        """Bytes of a datagram that are no packet."""
        return HEAD + (SEAL if self._key else 0)

    def seal(self, body: bytes, salt: bytes = b"") -> bytes:
        """`salt`: what else the seal stands for, as a stream's two nonces and the number of its frame."""
        if self._key is None:
            return b""
        return hashlib.blake2b(
            salt + body, digest_size=SEAL, key=self._key, person=b"flintridge-peer"
        ).digest()

    def encode(self, packet: Packet) -> bytes:
        body = _encoder.encode(packet)
        return b"%b%c%b%b" % (MAGIC, VERSION, self.seal(body), body)

    def decode(self, data: bytes) -> Packet:
        """Raises MessageDroppedError. The cheapest checks stand first against floods."""
        if len(data) < self.head or not data.startswith(MAGIC):
            raise MessageDroppedError("foreign")
        if data[len(MAGIC)] != VERSION:
            raise MessageDroppedError("version")
        if len(data) > LONGEST:
            raise MessageDroppedError("long")
        body = data[self.head :]
        if self._key is not None and not hmac.compare_digest(data[HEAD : self.head], self.seal(body)):
            raise MessageDroppedError("unsealed")
        try:
            packet = _packets.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MessageDroppedError("malformed") from error
        if packet.fleet != self.fleet:
            raise MessageDroppedError("fleet")
        return packet
