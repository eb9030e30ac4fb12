"""Messages by which processes lease fractions of fleet-wide limits, and their encoding.

All messages for one receiver travel as one payload in a datagram between peers. A limit is identified by a
digest of four bytes, made of its name, its size and its terms except the floor. A fraction of the limit is a
different amount for processes that are configured with another size, number of nodes or lease; their digests
differ, and they lease one another nothing.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated, NamedTuple, assert_never

import msgspec
from msgspec import Meta

MAX_OFFERS = 64  # in one payload
MAX_MESSAGES = 32  # in one payload


class MessageKind(IntEnum):
    """The kinds of lease messages, with their numbers on the wire."""

    REQUEST = 0
    GRANT = 1
    RELEASE = 2


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """Requests a lease. Repeated with a later timestamp, it renews lease `lease_id` with the same amount.

    Attributes:
        lease_id: Number of the lease, which one incarnation of the lessee never uses twice.
        amount: Requested units.
        requested_at: Time of the request in milliseconds of the lessee's clock; the grant repeats it.
        usable: Units that the lessee may use now; the grantor decides by them which lessee has priority.
    """

    lease_id: int
    amount: int
    requested_at: float
    usable: int = 0


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    """Grants or denies a request.

    Attributes:
        lease_id: The `lease_id` of the request.
        amount: Granted units; 0 denies the request.
        requested_at: The `requested_at` of the request.
    """

    lease_id: int
    amount: int
    requested_at: float


@dataclass(slots=True, frozen=True)
class LeaseRelease:
    """Ends a lease, which the lessee no longer uses."""

    lease_id: int


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease


@dataclass(slots=True, frozen=True)
class LimitMessage:
    """A message, and the digest of the limit to which it applies."""

    limit_digest: bytes
    message: LeaseMessage


@dataclass(slots=True, frozen=True)
class LeaseOffer:
    """The number of units of a limit that the sender can grant."""

    limit_digest: bytes
    amount: int


@dataclass(slots=True, frozen=True)
class LeasePayload:
    """All that one datagram contains about leases.

    Attributes:
        requests_per_s: Recent request rate of the sender, in requests a second.
        offers: Amounts that the sender can grant.
        messages: Messages of the sender to the receiver.
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


class _WirePayload(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A payload as it is encoded. Later versions append fields, which this version ignores."""

    requests_per_s: Annotated[float, Meta(ge=0, le=1e9)]
    offers: Annotated[tuple[_WireOffer, ...], Meta(max_length=MAX_OFFERS)] = ()
    messages: Annotated[tuple[_WireMessage, ...], Meta(max_length=MAX_MESSAGES)] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_WirePayload)


def encode(payload: LeasePayload) -> bytes:
    """Encode a payload as msgpack."""
    return _encoder.encode(
        _WirePayload(
            payload.requests_per_s,
            tuple(_WireOffer(offer.limit_digest, offer.amount) for offer in payload.offers),
            tuple(_to_wire(message) for message in payload.messages),
        )
    )


def decode(data: bytes) -> LeasePayload | None:
    """Decode a payload; None if it is malformed."""
    try:
        wire = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return LeasePayload(
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
