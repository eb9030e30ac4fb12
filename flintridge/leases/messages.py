"""Messages by which processes lease fractions of fleet-wide limits, and their encoding.

All that one process has for another travels as one fact of the peers' datagrams. A limit is named by four
bytes that stand for its name and all of its terms: processes that are configured with another size, another
number of nodes or another lease do not mean the same by a fraction of it, and lease one another nothing.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated, assert_never

import msgspec
from msgspec import Meta

MAX_OFFERS = 64  # of one fact
MAX_MESSAGES = 32  # of one fact


class MessageKind(IntEnum):
    """The kinds of lease messages, as they are numbered on the wire."""

    REQUEST = 0
    GRANT = 1
    RELEASE = 2


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """Asks for a lease; repeated with a later timestamp it renews lease `lease_id`, whose amount stays.

    Attributes:
        lease_id: Numbers the lease; never used again by one incarnation of the borrower.
        amount: Units that are asked for.
        requested_at: When, in milliseconds of the borrower's clock; the grant repeats it.
        usable: Units that the borrower may use now, by which a lender chooses who gets a lease.
    """

    lease_id: int
    amount: int
    requested_at: float
    usable: int = 0


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    """Grants a request.

    Attributes:
        lease_id: That of the request.
        amount: Units that are lent; 0 denies the request.
        requested_at: That of the request.
    """

    lease_id: int
    amount: int
    requested_at: float


@dataclass(slots=True, frozen=True)
class LeaseRelease:
    """Ends a lease: the borrower uses nothing of it any more."""

    lease_id: int


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease


@dataclass(slots=True, frozen=True)
class LimitMessage:
    """A message and the digest of the limit that it is about."""

    limit_digest: bytes
    message: LeaseMessage


@dataclass(slots=True, frozen=True)
class LeaseOffer:
    """How many units of a limit the sender can lend."""

    limit_digest: bytes
    amount: int


@dataclass(slots=True, frozen=True)
class LeaseFact:
    """All that one datagram carries about leases.

    Attributes:
        requests_per_s: Requests a second at the sender, lately.
        offers: What it can lend.
        messages: Its messages to the receiver.
    """

    requests_per_s: float
    offers: tuple[LeaseOffer, ...] = ()
    messages: tuple[LimitMessage, ...] = ()


_Digest = Annotated[bytes, Meta(min_length=4, max_length=4)]
_Units = Annotated[int, Meta(ge=0, le=1_000_000_000)]
_WireOffer = tuple[_Digest, _Units]
_WireMessage = tuple[
    _Digest,
    Annotated[int, Meta(ge=0, le=2)],  # a MessageKind
    Annotated[int, Meta(ge=0, lt=1 << 62)],  # lease_id
    _Units,  # amount
    Annotated[float, Meta(ge=0, le=1e15)],  # requested_at
    _Units,  # usable
]


class _WireFact(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A fact as it is encoded. What a later version adds stands at the end, where this one does not look."""

    requests_per_s: Annotated[float, Meta(ge=0, le=1e9)]
    offers: Annotated[tuple[_WireOffer, ...], Meta(max_length=MAX_OFFERS)] = ()
    messages: Annotated[tuple[_WireMessage, ...], Meta(max_length=MAX_MESSAGES)] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_WireFact)


def encode(fact: LeaseFact) -> bytes:
    """The fact as msgpack."""
    return _encoder.encode(
        _WireFact(
            fact.requests_per_s,
            tuple((offer.limit_digest, offer.amount) for offer in fact.offers),
            tuple(_to_wire(message) for message in fact.messages),
        )
    )


def decode(data: bytes) -> LeaseFact | None:
    """The fact that `encode` made into these bytes; None if they are malformed."""
    try:
        wire = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return LeaseFact(
        wire.requests_per_s,
        tuple(LeaseOffer(digest, amount) for digest, amount in wire.offers),
        tuple(_from_wire(message) for message in wire.messages),
    )


def _to_wire(limit_message: LimitMessage) -> _WireMessage:
    digest = limit_message.limit_digest
    match limit_message.message:
        case LeaseRequest(lease_id, amount, requested_at, usable):
            return digest, MessageKind.REQUEST, lease_id, amount, requested_at, usable
        case LeaseGrant(lease_id, amount, requested_at):
            return digest, MessageKind.GRANT, lease_id, amount, requested_at, 0
        case LeaseRelease(lease_id):
            return digest, MessageKind.RELEASE, lease_id, 0, 0.0, 0
        case _ as unreachable:
            assert_never(unreachable)


def _from_wire(wire: _WireMessage) -> LimitMessage:
    digest, kind, lease_id, amount, requested_at, usable = wire
    message: LeaseMessage
    match MessageKind(kind):
        case MessageKind.REQUEST:
            message = LeaseRequest(lease_id, amount, requested_at, usable)
        case MessageKind.GRANT:
            message = LeaseGrant(lease_id, amount, requested_at)
        case MessageKind.RELEASE:
            message = LeaseRelease(lease_id)
    return LimitMessage(digest, message)
