"""The messages between replicas, and their encoding. Times are sent as ages, in whole milliseconds.

Later releases append fields to a message, which this release ignores. Entries of a type that is unknown here
are passed on unchanged, because a body is opaque bytes to the processes that pass it on.
"""

import math
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from flintridge.replication.comparison import DigestRequest, SnapshotChunk
from flintridge.replication.entry import Entry, Key, VectorComponent, Version, Writer

FRAME_BYTES = 24 * 1024  # approximate size of the entries in one frame of an exchange
MAX_VERSIONS = 1024
MAX_VECTOR_COMPONENTS = 4096
INFINITE_LIFETIME_MS = -1.0  # an infinite lifetime as it is encoded

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=4096)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Digest = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
AgeMs = Annotated[int, Meta(ge=0, lt=1 << 50)]
Bucket = Annotated[int, Meta(ge=0, le=4096)]


class VersionMessage(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A version of an entry: its dot (`node`, `incarnation`, `count`) and the data of the write."""

    node: Name
    incarnation: Number
    count: Number
    age_ms: AgeMs
    stamp: Number
    body: Annotated[bytes, Meta(max_length=16384)]
    author: Text
    reason: Text
    lifetime_ms: Annotated[float, Meta(ge=-1)] = INFINITE_LIFETIME_MS
    deleted: bool = False


class VectorComponentMessage(NamedTuple):
    """A component of a version vector; `age_ms` is the age of the last write that was seen."""

    node: Name
    incarnation: Number
    up_to: Number
    age_ms: AgeMs


class EntryMessage(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """An entry with its type and name."""

    type_name: Name
    name: Text
    versions: Annotated[tuple[VersionMessage, ...], Meta(max_length=MAX_VERSIONS)]
    version_vector: Annotated[tuple[VectorComponentMessage, ...], Meta(max_length=MAX_VECTOR_COMPONENTS)]


class GossipMessage(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The message about replicas in a datagram between peers.

    Attributes:
        root: Digest of the sender's whole replica.
        synchronized: Whether the sender's replica has synchronized.
        entries: Entries that are sent as rumors.
        acknowledged: Numbers of the receiver's own writes that the sender has.
        write_count: Number of writes that the sender has made.
    """

    root: Digest
    synchronized: bool
    entries: Annotated[tuple[EntryMessage, ...], Meta(max_length=64)] = ()
    acknowledged: Annotated[tuple[Number, ...], Meta(max_length=64)] = ()
    write_count: Number = 0


class RequestMessage(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A `DigestRequest` as it is encoded."""

    digests: Annotated[tuple[Digest, ...], Meta(max_length=4096)]
    cursor: Bucket
    number: Number


class WriteCountMessage(NamedTuple):
    """The number up to which all of a process's writes were received."""

    node: Name
    incarnation: Number
    up_to: Number


class ChunkHeader(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The first frame of a `SnapshotChunk`, with its sender; the other frames are arrays of entries."""

    node: Name
    incarnation: Number
    number: Number
    first: Bucket
    end: Bucket
    source_synchronized: bool
    complete_up_to: Annotated[tuple[WriteCountMessage, ...], Meta(max_length=8192)]
    buckets: Annotated[tuple[int, ...], Meta(max_length=4096)]


@dataclass(slots=True, frozen=True)
class ReceivedChunk:
    """A chunk and the process that sent it."""

    source: Writer
    chunk: SnapshotChunk


_encoder = msgspec.msgpack.Encoder()
_gossip_decoder = msgspec.msgpack.Decoder(GossipMessage)
_request_decoder = msgspec.msgpack.Decoder(RequestMessage)
_header_decoder = msgspec.msgpack.Decoder(ChunkHeader)
_entries_decoder = msgspec.msgpack.Decoder(tuple[EntryMessage, ...])
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def make_entry(key: Key, entry: Entry, now: float) -> EntryMessage:
    """Convert an entry to a message that is sent at `now`, in milliseconds."""
    return EntryMessage(
        type_name=key[0],
        name=key[1],
        versions=tuple(_make_version(version, now) for version in entry.versions),
        version_vector=tuple(_make_vector_component(component, now) for component in entry.version_vector),
    )


def _make_version(version: Version, now: float) -> VersionMessage:
    (node, incarnation), count = version.dot
    return VersionMessage(
        node=node,
        incarnation=incarnation,
        count=count,
        age_ms=_age_ms(version.written_at, now),
        stamp=version.stamp,
        body=version.body,
        author=version.author,
        reason=version.reason,
        lifetime_ms=INFINITE_LIFETIME_MS if version.lifetime_ms == math.inf else version.lifetime_ms,
        deleted=version.deleted,
    )


def _make_vector_component(component: VectorComponent, now: float) -> VectorComponentMessage:
    node, incarnation = component.writer
    return VectorComponentMessage(
        node=node,
        incarnation=incarnation,
        up_to=component.up_to,
        age_ms=_age_ms(component.written_at, now),
    )


def _age_ms(written_at: float, now: float) -> int:
    return max(0, round(now - written_at))


def parse_entry(message: EntryMessage, as_of: float) -> tuple[Key, Entry]:
    """Convert a message to the key and the entry.

    Args:
        message: The received message.
        as_of: Time of the local clock at which the message was sent, or an earlier one, in milliseconds.
    """
    versions = [_parse_version(version, as_of) for version in message.versions]
    vector = [
        VectorComponent((component.node, component.incarnation), component.up_to, as_of - component.age_ms)
        for component in message.version_vector
    ]
    in_order = tuple(sorted(versions, key=lambda version: version.dot))
    return (message.type_name, message.name), Entry(in_order, tuple(sorted(vector)))


def _parse_version(message: VersionMessage, as_of: float) -> Version:
    return Version(
        dot=((message.node, message.incarnation), message.count),
        written_at=as_of - message.age_ms,
        stamp=message.stamp,
        body=message.body,
        author=message.author,
        reason=message.reason,
        lifetime_ms=math.inf if message.lifetime_ms < 0 else message.lifetime_ms,
        deleted=message.deleted,
    )


def encode_gossip(message: GossipMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_gossip(data: bytes) -> GossipMessage | None:
    """Decode a message; None if it is malformed."""
    try:
        return _gossip_decoder.decode(data)
    except DECODE_ERRORS:
        return None


def encode_request(request: DigestRequest) -> bytes:
    """Encode a request."""
    return _encoder.encode(RequestMessage(request.digests, request.cursor, request.number))


def decode_request(data: bytes) -> DigestRequest | None:
    """Decode a request; None if it is malformed."""
    try:
        message = _request_decoder.decode(data)
    except DECODE_ERRORS:
        return None
    return DigestRequest(message.digests, message.cursor, message.number)


def encode_chunk(source: Writer, chunk: SnapshotChunk, now: float) -> list[bytes]:
    """Encode a chunk as frames.

    Args:
        source: The process that sends the chunk.
        chunk: The chunk.
        now: The current time in milliseconds.
    """
    node, incarnation = source
    header = ChunkHeader(
        node=node,
        incarnation=incarnation,
        number=chunk.number,
        first=chunk.first,
        end=chunk.end,
        source_synchronized=chunk.source_synchronized,
        complete_up_to=tuple(WriteCountMessage(*writer, count) for writer, count in chunk.complete_up_to),
        buckets=chunk.buckets,
    )
    frames = [_encoder.encode(header)]
    encoded: list[bytes] = []
    size = 0
    for key, entry in chunk.entries:
        encoded.append(_encoder.encode(make_entry(key, entry, now)))
        size += len(encoded[-1])
        if size > FRAME_BYTES:
            frames.append(_join(encoded))
            encoded = []
            size = 0
    if encoded:
        frames.append(_join(encoded))
    return frames


def _join(encoded: list[bytes]) -> bytes:
    return _encoder.encode([msgspec.Raw(entry) for entry in encoded])


def decode_chunk(frames: list[bytes], as_of: float) -> ReceivedChunk | None:
    """Decode the frames of a chunk; None if they are malformed.

    Args:
        frames: The received frames.
        as_of: Time of the local clock at which the chunk was sent, or an earlier one, in milliseconds.
    """
    try:
        header = _header_decoder.decode(frames[0])
        entries = [
            parse_entry(message, as_of)
            for frame in frames[1:]
            if frame
            for message in _entries_decoder.decode(frame)
        ]
    except (*DECODE_ERRORS, IndexError):
        return None
    chunk = SnapshotChunk(
        number=header.number,
        first=header.first,
        end=header.end,
        source_synchronized=header.source_synchronized,
        complete_up_to=tuple(
            ((received.node, received.incarnation), received.up_to) for received in header.complete_up_to
        ),
        entries=tuple(entries),
        buckets=header.buckets,
    )
    return ReceivedChunk((header.node, header.incarnation), chunk)
