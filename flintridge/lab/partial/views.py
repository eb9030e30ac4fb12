"""What the lab takes down of a node's view of its peers and of budgets, and what its fleets are called."""

from typing import Any

from flintridge.lab.records import DatagramRelayed, LeaseReported, MembershipReported
from flintridge.leases.lease_manager import LeaseManager
from flintridge.leases.messages import LeaseGrant, LeaseRelease, LeaseRequest, decode
from flintridge.membership.messages import MessageCodec, MessageDroppedError

FLEET = "lab"
KEY = b"the lab's own key, of 32 bytes.."
MESSAGE_NAMES = {LeaseRequest: "ask", LeaseGrant: "grant", LeaseRelease: "give"}  # as scenarios name them
VIEW_MS = 500.0  # between two looks at a node's console


def view_of(t: float, node: str, said: dict[str, Any]) -> MembershipReported:
    """The record of an answer to GET /admin/peers. Raises KeyError where it is none."""
    lives = []
    for one in said["lives"]:
        agos = [ago for ago in (one.get("heard_ms_ago"), one.get("told_ms_ago")) if ago is not None]
        lives.append((one["name"], one["life"] or "", one["state"], float(min(agos, default=-1))))
    return MembershipReported(
        at_ms=t,
        node=node,
        incarnation=said["life"],
        reachable=said["heard"],
        member_count=said["of"],
        limit_ms=float(said["limit_ms"]),
        bytes_out=said["counts"].get("bytes_out", 0),
        members=lives,
    )


def held_of(t: float, node: str, said: dict[str, Any]) -> list[LeaseReported]:
    """The records of an answer to GET /admin/budgets. Raises KeyError where it is none."""
    return [
        LeaseReported(
            at_ms=t,
            node=node,
            incarnation=said["life"],
            limit_name=one["name"],
            usable=float(one["usable"]),
            allocated=float(one["own"]),
            lent=float(sum(lease["amount"] for lease in one["lent"])),
            borrowed=float(sum(lease["amount"] for lease in one["borrowed"])),
        )
        for one in said["budgets"]
    ]


def datagram_of(
    codec: MessageCodec, t: float, source: str, target: str, data: bytes, fate: str
) -> DatagramRelayed:
    """The record of a datagram on its way, which is read as far as the fleet's key goes."""
    try:
        message = codec.decode(data)
    except MessageDroppedError:
        return DatagramRelayed(at_ms=t, source=source, target=target, size=len(data), outcome=fate)
    facts = [decode(payload) for name, payload in message.payloads if name == LeaseManager.name]
    words = tuple(MESSAGE_NAMES[type(one.message)] for fact in facts if fact for one in fact.messages)
    return DatagramRelayed(
        at_ms=t,
        source=source,
        target=target,
        size=len(data),
        outcome=fate,
        kind=message.kind,
        lease_messages=words,
    )
