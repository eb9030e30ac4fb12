"""Messages by which processes lease fractions of fleet-wide limits, and their encoding.

All that one process has for another travels as one fact of the peers' datagrams. A limit is named by four
bytes that stand for its name and all of its terms: processes that are configured with another size, another
number of nodes or another lease do not mean the same by a fraction of it, and lease one another nothing.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated, NamedTuple, assert_never

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
        lease_id: Numbers the lease; never used again by one incarnation of the lessee.
        amount: Units that are asked for.
        requested_at: When, in milliseconds of the lessee's clock; the grant repeats it.
        usable: Units that the lessee may use now, by which a grantor chooses who gets a lease.
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
        amount: Units that are granted; 0 denies the request.
        requested_at: That of the request.
    """

    lease_id: int
    amount: int
    requested_at: float


@dataclass(slots=True, frozen=True)
class LeaseRelease:
    """Ends a lease: the lessee uses nothing of it any more."""

    lease_id: int


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease


@dataclass(slots=True, frozen=True)
class LimitMessage:
    """A message and the digest of the limit that it is about."""

    limit_digest: bytes
    message: LeaseMessage


@dataclass(slots=True, frozen=True)
class LeaseOffer:
    """How many units of a limit the sender can grant."""

    limit_digest: bytes
    amount: int


@dataclass(slots=True, frozen=True)
class LeaseFact:
    """All that one datagram carries about leases.

    Attributes:
        requests_per_s: Requests a second at the sender, lately.
        offers: What it can grant.
        messages: Its messages to the receiver.
    """

    requests_per_s: float
    offers: tuple[LeaseOffer, ...] = ()
    messages: tuple[LimitMessage, ...] = ()


_Digest = Annotated[bytes, Meta(min_length=4, max_length=4)]
_Units = Annotated[int, Meta(ge=0, le=1_000_000_000)]


class _WireOffer(NamedTuple):
    limit_digest: _Digest
    amount: _Units


class _WireMessage(NamedTuple):
    limit_digest: _Digest
    kind: Annotated[int, Meta(ge=0, le=2)]  # a MessageKind
    lease_id: Annotated[int, Meta(ge=0, lt=1 << 62)]
    amount: _Units
    requested_at: Annotated[float, Meta(ge=0, le=1e15)]
    usable: _Units


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
            tuple(_WireOffer(offer.limit_digest, offer.amount) for offer in fact.offers),
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
        tuple(LeaseOffer(offer.limit_digest, offer.amount) for offer in wire.offers),
        tuple(_from_wire(message) for message in wire.messages),
    )


def _to_wire(limit_message: LimitMessage) -> _WireMessage:
    digest = limit_message.limit_digest
    match limit_message.message:
        case LeaseRequest(lease_id, amount, requested_at, usable):
            return _WireMessage(digest, MessageKind.REQUEST, lease_id, amount, requested_at, usable)
        case LeaseGrant(lease_id, amount, requested_at):
            return _WireMessage(digest, MessageKind.GRANT, lease_id, amount, requested_at, 0)
        case LeaseRelease(lease_id):
            return _WireMessage(digest, MessageKind.RELEASE, lease_id, 0, 0.0, 0)
        case _ as unreachable:
            assert_never(unreachable)


def _from_wire(wire: _WireMessage) -> LimitMessage:
    message: LeaseMessage
    match MessageKind(wire.kind):
        case MessageKind.REQUEST:
            message = LeaseRequest(wire.lease_id, wire.amount, wire.requested_at, wire.usable)
        case MessageKind.GRANT:
            message = LeaseGrant(wire.lease_id, wire.amount, wire.requested_at)
        case MessageKind.RELEASE:
            message = LeaseRelease(wire.lease_id)
    return LimitMessage(wire.limit_digest, message)
