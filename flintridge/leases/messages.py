"""What processes say of budgets, in bytes: one fact of the peers' datagrams.

A budget goes by four bytes that stand for its name and all of its terms: processes that were told of another
size, another number of nodes or another lease do not mean the same by a part of it, and lend one another
nothing.
"""

import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta

from flintridge.leases.allocation import LeaseGrant, LeaseRelease, LeaseRequest, LeaseTerms, Word

MOST_OFFERS = 64  # of one fact
MOST_WORDS = 32
ASK, GRANT, GIVE = 0, 1, 2

Mark = Annotated[bytes, Meta(min_length=4, max_length=4)]
Units = Annotated[int, Meta(ge=0, le=1_000_000_000)]


class Said(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One fact. What a later version adds stands at the end, where this one does not look."""

    pace: Annotated[float, Meta(ge=0, le=1e9)]  # requests a second at this node, lately
    offers: Annotated[tuple[tuple[Mark, Units], ...], Meta(max_length=MOST_OFFERS)] = ()
    words: Annotated[
        tuple[
            tuple[
                Mark,
                Annotated[int, Meta(ge=0, le=2)],
                Annotated[int, Meta(ge=0, lt=1 << 62)],  # the loan's number
                Units,
                Annotated[float, Meta(ge=0, le=1e15)],  # the borrower's stamp
                Units,  # what the borrower holds, with a call
            ],
            ...,
        ],
        Meta(max_length=MOST_WORDS),
    ] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Said)


def mark_of(name: str, whole: float, nodes: int, terms: LeaseTerms) -> bytes:
    """Of a budget: its name, its size, how many even parts it is cut into, and the terms of loans."""
    text = f"{name}\n{whole!r}\n{nodes}\n{terms.part}\n{terms.lease!r}\n{terms.drift!r}\n{terms.keep!r}"
    return hashlib.blake2b(text.encode(), digest_size=4, person=b"flintridge-budg").digest()


def flat(mark: bytes, word: Word) -> tuple[bytes, int, int, int, float, int]:
    match word:
        case LeaseRequest(id, amount, stamp, held):
            return mark, ASK, id, amount, stamp, held
        case LeaseGrant(id, amount, stamp):
            return mark, GRANT, id, amount, stamp, 0
        case LeaseRelease(id):
            return mark, GIVE, id, 0, 0.0, 0


def word_of(kind: int, id: int, amount: int, stamp: float, held: int) -> Word:
    match kind:
        case 0:
            return LeaseRequest(id, amount, stamp, held)
        case 1:
            return LeaseGrant(id, amount, stamp)
        case _:
            return LeaseRelease(id)


def encode(said: Said) -> bytes:
    return _encoder.encode(said)


def decode(data: bytes) -> Said | None:
    """None where it is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
