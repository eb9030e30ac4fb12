"""The membership protocol's datagrams: their fields, encoding, authentication, and the reasons to drop one.

A datagram is `FP`, a version, an authentication tag of 16 bytes where the fleet has a key, and a message in
MessagePack. What a later version adds stands at the end of a message, where this one does not look; one that
cannot be read so has another version and is dropped and counted, as is a kind that is not known here.
"""

import hashlib
import hmac
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from flintridge.errors import FlintridgeError

MAGIC = b"FP"
VERSION = 1
TAG_BYTES = 16
HEADER_BYTES = len(MAGIC) + 1  # before the authentication tag
MAX_DATAGRAM_BYTES = 1200  # it passes any usual path in one piece
MAX_ENTRIES = 64  # gossip entries of one message
MAX_PAYLOADS = 16  # topics' payloads of one message
MAX_KEY_BYTES = 64  # as BLAKE2b takes it
MIN_KEY_BYTES = 16

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Refutations = Annotated[int, Meta(ge=0, lt=1 << 32)]

ANY_INCARNATION = 0  # of a name: whichever process answers


class ProcessId(NamedTuple):
    """A process of the fleet, or any of a name with ANY_INCARNATION."""

    name: str
    incarnation: int


class MessageDroppedError(FlintridgeError, ValueError):
    """Received bytes are not accepted."""

    def __init__(self, reason: str) -> None:
        """Keep the reason beside the text.

        Args:
            reason: A word that is the end of a counter's name.
        """
        super().__init__(reason)
        self.reason = reason


class MessageKind(IntEnum):
    """What a message asks for or answers."""

    PING = 1  # to be answered by an ACK
    ACK = 2  # to be answered by an ACK_RECEIPT, where it answers a probe of the receiver's own
    PING_REQUEST = 3  # ping the process in `probe_target` for the sender
    INDIRECT_ACK = 4  # it answered
    INDIRECT_NACK = 5  # it did not in time; who requested the ping learns that its own links are well
    GOSSIP = 6  # asks for no answer
    ACK_RECEIPT = 7  # the answer to an ACK: it proves to the probed side the age of what it says
    PAYLOADS = 8  # of topics, and asks for no answer


class MemberState(IntEnum):
    """Of a process, by rank: of two entries with as many refutations the higher state holds."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3  # it said so itself; final


class GossipEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What one node knows of a process, for others."""

    name: Name
    incarnation: Number  # of the process: drawn at its start
    refutations: Refutations  # raised by the process itself whenever it is suspected
    state: Annotated[int, Meta(ge=0, le=3)]
    age_ms: Annotated[int, Meta(ge=0, lt=1 << 40)]  # since it is known to have been alive


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One datagram's content. Instants are the sender's own, in milliseconds, and mean nothing to others."""

    fleet: Name
    name: Name  # of the sender
    incarnation: Number
    refutations: Refutations
    sequence: Number  # rises with each datagram of a process
    kind: Annotated[int, Meta(ge=0, lt=256)]
    probe_id: Number
    sent_at: Number
    target_incarnation: Number = ANY_INCARNATION  # of the process that is meant, at this address
    # The newest `sent_at` received from the target; -1: none.
    echoed_sent_at: Annotated[int, Meta(ge=-1, le=(1 << 63) - 1)] = -1
    echo_delay: Number = 0  # milliseconds since that was received
    probe_target: tuple[Name, Number] | None = None
    entries: Annotated[tuple[GossipEntry, ...], Meta(max_length=MAX_ENTRIES)] = ()
    payloads: Annotated[tuple[tuple[Name, bytes], ...], Meta(max_length=MAX_PAYLOADS)] = ()

    @property
    def sender(self) -> ProcessId:
        """The process that sent it."""
        return ProcessId(self.name, self.incarnation)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encoded_size(value: GossipEntry | Message) -> int:
    """Its bytes, without header and authentication tag."""
    return len(_encoder.encode(value))


class MessageCodec:
    """Encodes, authenticates and decodes the datagrams of one fleet."""

    def __init__(self, fleet: str, key: bytes | None) -> None:
        """Prepare the codec of a fleet.

        Args:
            fleet: Messages of another fleet are dropped.
            key: 16 to 64 bytes, or None: nothing is authenticated.

        Raises:
            ValueError: The key has another length.
        """
        if key is not None and not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, not {len(key)}")
        self.fleet = fleet
        self._key = key

    @property
    def overhead_bytes(self) -> int:
        """Bytes of a datagram before its message."""
        return HEADER_BYTES + (TAG_BYTES if self._key else 0)

    def tag(self, body: bytes, salt: bytes = b"") -> bytes:
        """The authentication tag of `body`; empty without a key.

        Args:
            body: What is authenticated.
            salt: What else the tag stands for, as a connection's two nonces and the number of its frame.
        """
        if self._key is None:
            return b""
        return hashlib.blake2b(
            salt + body, digest_size=TAG_BYTES, key=self._key, person=b"flintridge-peer"
        ).digest()

    def encode(self, message: Message) -> bytes:
        """The datagram of a message."""
        body = _encoder.encode(message)
        return b"%b%c%b%b" % (MAGIC, VERSION, self.tag(body), body)

    def decode(self, data: bytes) -> Message:
        """The message of a datagram. The cheapest checks stand first: a flood of anything else costs little.

        Raises:
            MessageDroppedError: It is no datagram of this fleet and version.
        """
        if len(data) < self.overhead_bytes or not data.startswith(MAGIC):
            raise MessageDroppedError("foreign")
        if data[len(MAGIC)] != VERSION:
            raise MessageDroppedError("version")
        if len(data) > MAX_DATAGRAM_BYTES:
            raise MessageDroppedError("long")
        body = data[self.overhead_bytes :]
        tag = data[HEADER_BYTES : self.overhead_bytes]
        if self._key is not None and not hmac.compare_digest(tag, self.tag(body)):
            raise MessageDroppedError("unauthenticated")
        try:
            message = _decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MessageDroppedError("malformed") from error
        if message.fleet != self.fleet:
            raise MessageDroppedError("fleet")
        return message
