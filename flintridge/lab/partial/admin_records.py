"""Conversion of admin API responses on membership and leases, and of datagrams, to the lab's records."""

from collections.abc import Mapping
from typing import Any

from flintridge.lab.records import DatagramRelayed, LeaseReported, MembershipReported
from flintridge.leases.lease_manager import LeaseManager
from flintridge.leases.messages import LeaseGrant, LeaseRelease, LeaseRequest, decode
from flintridge.membership.messages import MessageCodec, MessageDroppedError

FLEET = "lab"
KEY = b"the lab's own key, of 32 bytes.."
MESSAGE_NAMES = {LeaseRequest: "ask", LeaseGrant: "grant", LeaseRelease: "give"}  # the names in scenarios
REPORT_INTERVAL_MS = 500.0  # between two requests to a node's admin API

AdminResponse = Mapping[str, Any]  # a decoded JSON object of the admin API


def membership_record(at_ms: float, node: str, response: AdminResponse) -> MembershipReported:
    """Return the record of a response to GET /admin/peers.

    Args:
        at_ms: The time of the report.
        node: The node that responded.
        response: The decoded body of the response.

    Raises:
        KeyError: A field of such a response is missing.
    """
    members = []
    for member in response["lives"]:
        ages = [age for age in (member.get("heard_ms_ago"), member.get("told_ms_ago")) if age is not None]
        age_ms = float(min(ages, default=-1))
        members.append((member["name"], member["life"] or "", member["state"], age_ms))
    return MembershipReported(
        at_ms=at_ms,
        node=node,
        incarnation=response["life"],
        reachable=response["heard"],
        member_count=response["of"],
        limit_ms=float(response["limit_ms"]),
        bytes_out=response["counts"].get("bytes_out", 0),
        members=members,
    )


def lease_records(at_ms: float, node: str, response: AdminResponse) -> list[LeaseReported]:
    """Return the records of a response to GET /admin/budgets.

    Args:
        at_ms: The time of the report.
        node: The node that responded.
        response: The decoded body of the response.

    Raises:
        KeyError: A field of such a response is missing.
    """
    return [
        LeaseReported(
            at_ms=at_ms,
            node=node,
            incarnation=response["life"],
            limit_name=limit["name"],
            usable=float(limit["usable"]),
            allocated=float(limit["own"]),
            lent=float(sum(lease["amount"] for lease in limit["lent"])),
            borrowed=float(sum(lease["amount"] for lease in limit["borrowed"])),
        )
        for limit in response["budgets"]
    ]


def datagram_record(
    codec: MessageCodec, at_ms: float, source: str, target: str, data: bytes, outcome: str
) -> DatagramRelayed:
    """Return the record of a datagram between nodes; without kind and messages if it cannot be decoded.

    Args:
        codec: The codec with the fleet's key.
        at_ms: The time at which the datagram was relayed.
        source: The node that sent it.
        target: The node to which it was sent.
        data: Its bytes.
        outcome: What the relay did with it: passed, doubled, lost or cut.
    """
    try:
        message = codec.decode(data)
    except MessageDroppedError:
        return DatagramRelayed(at_ms=at_ms, source=source, target=target, size=len(data), outcome=outcome)
    lease_payloads = [decode(payload) for name, payload in message.payloads if name == LeaseManager.name]
    return DatagramRelayed(
        at_ms=at_ms,
        source=source,
        target=target,
        size=len(data),
        outcome=outcome,
        kind=message.kind,
        lease_messages=tuple(
            MESSAGE_NAMES[type(limit_message.message)]
            for lease_payload in lease_payloads
            if lease_payload
            for limit_message in lease_payload.messages
        ),
    )
