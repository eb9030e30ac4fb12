"""The membership protocol's datagrams: their fields, encoding, authentication, and the reasons to drop one.

A datagram consists of the magic bytes `FP`, a version byte, a 16-byte authentication tag if the fleet has a
key, and a message in MessagePack. A later release appends new fields to the message, where this one ignores
them. A format that this release could not read gets another version number; such datagrams are dropped and
counted. A message of an unknown kind is counted and not answered.
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
MAX_DATAGRAM_BYTES = 1200  # fits the MTU of any usual path, so it is not fragmented
MAX_ENTRIES = 64  # gossip entries of one message
MAX_PAYLOADS = 16  # topic payloads of one message
MAX_KEY_BYTES = 64  # limit of BLAKE2b
MIN_KEY_BYTES = 16

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Refutations = Annotated[int, Meta(ge=0, lt=1 << 32)]

ANY_INCARNATION = 0  # addresses whichever process of a node answers


class ProcessId(NamedTuple):
    """A process of the fleet; with ANY_INCARNATION, any process of the node `name`."""

    name: str
    incarnation: int


class MessageDroppedError(FlintridgeError, ValueError):
    """Received bytes are dropped."""

    def __init__(self, reason: str) -> None:
        """Create an error whose text is the reason.

        Args:
            reason: One word, which becomes the last part of a counter's name.
        """
        super().__init__(reason)
        self.reason = reason


class MessageKind(IntEnum):
    """What a message requests or answers."""

    PING = 1  # requests an ACK
    ACK = 2  # answers a PING; requests an ACK_RECEIPT if it ends one of the receiver's own probes
    PING_REQUEST = 3  # requests that the receiver pings `probe_target` for the sender
    INDIRECT_ACK = 4  # the target of a PING_REQUEST answered
    # The target of a PING_REQUEST did not answer in time; also shows the requester that its own links work.
    INDIRECT_NACK = 5
    GOSSIP = 6  # requests no response
    ACK_RECEIPT = 7  # answers an ACK; proves to the probed process how old the content of the receipt is
    PAYLOADS = 8  # topic payloads; requests no response


class MemberState(IntEnum):
    """State of a process. Of two entries with the same number of refutations, the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3  # announced by the process itself; final


class GossipEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What one node knows about a process, as it is sent to other nodes."""

    name: Name
    incarnation: Number  # random number, drawn when the process starts
    refutations: Refutations  # raised by the process itself whenever it refutes a suspicion
    state: Annotated[int, Meta(ge=0, le=3)]
    age_ms: Annotated[int, Meta(ge=0, lt=1 << 40)]  # time since the process was last proved to be alive


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The content of one datagram. Instants are milliseconds of the sender's clock, comparable only there."""

    fleet: Name
    name: Name  # the sender's node name
    incarnation: Number
    refutations: Refutations
    sequence: Number  # increases with each datagram that a process sends
    kind: Annotated[int, Meta(ge=0, lt=256)]
    probe_id: Number
    sent_at: Number
    target_incarnation: Number = ANY_INCARNATION  # the incarnation that the message is meant for
    # The newest `sent_at` that the sender received from the target; -1: none.
    echoed_sent_at: Annotated[int, Meta(ge=-1, le=(1 << 63) - 1)] = -1
    echo_delay: Number = 0  # milliseconds since the echoed message was received
    probe_target: tuple[Name, Number] | None = None
    entries: Annotated[tuple[GossipEntry, ...], Meta(max_length=MAX_ENTRIES)] = ()
    payloads: Annotated[tuple[tuple[Name, bytes], ...], Meta(max_length=MAX_PAYLOADS)] = ()

    @property
    def sender(self) -> ProcessId:
        """The process that sent the message."""
        return ProcessId(self.name, self.incarnation)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encoded_size(value: GossipEntry | Message) -> int:
    """Encoded size in bytes, without header and authentication tag."""
    return len(_encoder.encode(value))


class MessageCodec:
    """Encodes, authenticates and decodes the datagrams of one fleet."""

    def __init__(self, fleet: str, key: bytes | None) -> None:
        """Prepare the codec of a fleet.

        Args:
            fleet: Name of the fleet; messages of other fleets are dropped.
            key: Secret of 16 to 64 bytes; None turns authentication off.

        Raises:
            ValueError: The key is too short or too long.
        """
        if key is not None and not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"a key must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, not {len(key)}")
        self.fleet = fleet
        self._key = key

    @property
    def overhead_bytes(self) -> int:
        """Size in bytes of a datagram's header and authentication tag."""
        return HEADER_BYTES + (TAG_BYTES if self._key else 0)

    def tag(self, body: bytes, salt: bytes = b"") -> bytes:
        """The authentication tag of `body`; empty without a key.

        Args:
            body: The bytes to authenticate.
            salt: Context that the tag authenticates too, such as a connection's nonces and the frame number.
        """
        if self._key is None:
            return b""
        return hashlib.blake2b(
            salt + body, digest_size=TAG_BYTES, key=self._key, person=b"flintridge-peer"
        ).digest()

    def encode(self, message: Message) -> bytes:
        """Encode a message as a datagram."""
        body = _encoder.encode(message)
        return b"%b%c%b%b" % (MAGIC, VERSION, self.tag(body), body)

    def decode(self, data: bytes) -> Message:
        """Decode a datagram. The cheapest checks come first, so that a flood of foreign data costs little.

        Raises:
            MessageDroppedError: The bytes are not a datagram of this fleet and version.
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
