"""What copies say to one another, in bytes. Times travel as ages, in whole milliseconds.

What a later version adds stands at the end of a word, where this one does not look. A type that is not known
here goes on as it came: its body is bytes to whoever passes it on.
"""

import math
from typing import Annotated

import msgspec
from msgspec import Meta

from flintridge.replication.entry import Entry, Key, Seen, Version, Writer
from flintridge.replication.replica import Ask, Slice

PIECE = 24 * 1024  # bytes of entries in a piece of an exchange, about
MOST_VERSIONS = 1024
MOST_SEEN = 4096

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=4096)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Hash = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Age = Annotated[int, Meta(ge=0, lt=1 << 50)]


class Written(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A version."""

    name: Name
    life: Number
    count: Number
    age: Age
    stamp: Number
    body: Annotated[bytes, Meta(max_length=16384)]
    by: Text
    why: Text
    lasts: Annotated[float, Meta(ge=-1)] = -1.0  # -1: for ever
    deleted: bool = False


class Held(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """An entry."""

    type: Name
    name: Text
    versions: Annotated[tuple[Written, ...], Meta(max_length=MOST_VERSIONS)]
    seen: Annotated[tuple[tuple[Name, Number, Number, Age], ...], Meta(max_length=MOST_SEEN)]


class Said(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One fact of the peers' datagrams."""

    root: Hash
    caught: bool
    entries: Annotated[tuple[Held, ...], Meta(max_length=64)] = ()
    had: Annotated[tuple[Number, ...], Meta(max_length=64)] = ()  # numbers of the hearer's own writes
    own: Number = 0  # how many writes the speaker has made


class Asked(msgspec.Struct, array_like=True, frozen=True, gc=False):
    digests: Annotated[tuple[Hash, ...], Meta(max_length=4096)]
    cursor: Annotated[int, Meta(ge=0, le=4096)]
    number: Number


class Head(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The first piece of an answer; the others are tuples of entries."""

    name: Name  # who answers
    life: Number
    number: Number
    first: Annotated[int, Meta(ge=0, le=4096)]
    end: Annotated[int, Meta(ge=0, le=4096)]
    caught: bool
    whole: Annotated[tuple[tuple[Name, Number, Number], ...], Meta(max_length=8192)]
    sent: Annotated[tuple[int, ...], Meta(max_length=4096)]


_encoder = msgspec.msgpack.Encoder()
_said = msgspec.msgpack.Decoder(Said)
_asked = msgspec.msgpack.Decoder(Asked)
_head = msgspec.msgpack.Decoder(Head)
_held = msgspec.msgpack.Decoder(tuple[Held, ...])
ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def flat(key: Key, entry: Entry, now: float) -> Held:
    return Held(
        key[0],
        key[1],
        tuple(
            Written(
                *one.dot[0],
                one.dot[1],
                max(0, round(now - one.at)),
                one.stamp,
                one.body,
                one.by,
                one.why,
                -1.0 if one.lasts == math.inf else one.lasts,
                one.deleted,
            )
            for one in entry.versions
        ),
        tuple((*one.writer, one.upto, max(0, round(now - one.at))) for one in entry.seen),
    )


def entry_of(held: Held, as_of: float) -> tuple[Key, Entry]:
    """`as_of`: an instant of the own clock at which it was said, or before."""
    versions = [
        Version(
            ((one.name, one.life), one.count),
            as_of - one.age,
            one.stamp,
            one.body,
            one.by,
            one.why,
            math.inf if one.lasts < 0 else one.lasts,
            one.deleted,
        )
        for one in held.versions
    ]
    seen = [Seen((name, life), upto, as_of - age) for name, life, upto, age in held.seen]
    return (held.type, held.name), Entry(
        tuple(sorted(versions, key=lambda one: one.dot)), tuple(sorted(seen))
    )


def said(word: Said) -> bytes:
    return _encoder.encode(word)


def said_of(data: bytes) -> Said | None:
    """None where it is none."""
    try:
        return _said.decode(data)
    except ERRORS:
        return None


def asked(ask: Ask) -> bytes:
    return _encoder.encode(Asked(ask.digests, ask.cursor, ask.number))


def asked_of(data: bytes) -> Ask | None:
    try:
        word = _asked.decode(data)
    except ERRORS:
        return None
    return Ask(word.digests, word.cursor, word.number)


def pieces(me: Writer, got: Slice, now: float) -> list[bytes]:
    """An answer."""
    whole = tuple((*writer, count) for writer, count in got.whole)
    made = [_encoder.encode(Head(*me, got.number, got.first, got.end, got.caught, whole, got.sent))]
    held: list[bytes] = []
    size = 0
    for key, entry in got.entries:
        held.append(_encoder.encode(flat(key, entry, now)))
        size += len(held[-1])
        if size > PIECE:
            made.append(_joined(held))
            held, size = [], 0
    if held:
        made.append(_joined(held))
    return made


def _joined(held: list[bytes]) -> bytes:
    return _encoder.encode([msgspec.Raw(one) for one in held])


def slice_of(parts: list[bytes], as_of: float) -> tuple[Writer, Slice] | None:
    """Who answered, and what; None where it is no answer."""
    try:
        head = _head.decode(parts[0])
        entries = [entry_of(one, as_of) for part in parts[1:] if part for one in _held.decode(part)]
    except (*ERRORS, IndexError):
        return None
    whole = tuple(((name, life), count) for name, life, count in head.whole)
    got = Slice(head.number, head.first, head.end, head.caught, whole, tuple(entries), head.sent)
    return (head.name, head.life), got
