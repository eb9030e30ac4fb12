"""The response to GET /admin/peers: a node's view of its peers, as JSON values.

The encoded names are those that clients of the admin API read. Times are given in milliseconds ago, or null
if there is none.
"""

from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from flintridge.config.node_config import PeersConfig
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member import NEVER, Member

# Counters that keep an older name in the JSON, as clients of the admin API read it.
COUNT_FIELDS = {
    "acks_from_wrong_member": "answers_of_another",
    "dropped_too_many_incarnations": "dropped_lives",
    "dropped_unauthenticated": "dropped_unsealed",
    "indirect_probes_rejected": "errands_refused",
    "payloads_too_long": "facts_long",
    "payloads_unknown": "facts_unknown",
    "probes_acked_indirectly": "probes_by_others",
}
UNREACHABLE_STATE = "silent"  # state of a name without a known process; see `MemberTable.describe_state`


class MemberView(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "incarnation": "life",
        "direct_alive_ms_ago": "heard_ms_ago",
        "indirect_alive_ms_ago": "told_ms_ago",
        "refutations": "incarnation",
        "bytes_received": "bytes_in",
        "rejected": "refused",
    },
):
    """One process of a peer; for a name without a known process only the name and the state are set."""

    name: str
    incarnation: str | None  # hexadecimal
    state: str
    direct_alive_ms_ago: int | None | UnsetType = UNSET
    indirect_alive_ms_ago: int | None | UnsetType = UNSET
    round_trip_ms: float | None | UnsetType = UNSET
    refutations: int | UnsetType = UNSET
    bytes_received: int | UnsetType = UNSET
    rejected: int | UnsetType = UNSET


class MembershipView(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "incarnation": "life",
        "authenticated": "sealed",
        "owns_address": "holds_address",
        "reachable": "heard",
        "names": "of",
        "reachable_for_ms": "heard_for_ms",
        "max_age_ms": "limit_ms",
        "local_health_penalty": "slowness",
        "members": "lives",
    },
):
    """The whole response."""

    name: str
    incarnation: str  # hexadecimal
    fleet: str
    authenticated: bool
    owns_address: bool
    reachable: int
    names: int
    epoch: int
    reachable_for_ms: int
    max_age_ms: int
    local_health_penalty: int
    bytes_per_s: float
    members: list[MemberView]
    counts: dict[str, int]


def membership_view(
    config: PeersConfig, detector: FailureDetector, owns_address: bool, now: float
) -> dict[str, Any]:
    """Build the JSON object of the response.

    Args:
        config: Configuration of the node's `[peers]` table.
        detector: Failure detector of this process, refreshed at `now`.
        owns_address: Whether this process has bound the configured address.
        now: The current time, in float milliseconds.
    """
    table = detector.table
    reachability = detector.reachability
    view = MembershipView(
        name=table.local_name,
        incarnation=f"{table.incarnation:x}",
        fleet=config.fleet,
        authenticated=config.key is not None,
        owns_address=owns_address,
        reachable=reachability.reachable,
        names=reachability.names,
        epoch=reachability.epoch,
        reachable_for_ms=round(now - reachability.since[reachability.reachable]),
        max_age_ms=round(detector.max_age_ms),
        local_health_penalty=detector.local_health_penalty,
        bytes_per_s=config.bytes_per_s,
        members=_members(detector, now),
        counts=_counts(detector),
    )
    values: dict[str, Any] = msgspec.to_builtins(view)
    return values


def _members(detector: FailureDetector, now: float) -> list[MemberView]:
    members = [_member_view(detector, member, now) for member in detector.table]
    known_names = {member.name for member in members}
    members += [
        MemberView(name=name, incarnation=None, state=UNREACHABLE_STATE)
        for name in detector.table.peer_names
        if name not in known_names
    ]
    return sorted(members, key=lambda member: (member.name, str(member.incarnation)))


def _counts(detector: FailureDetector) -> dict[str, int]:
    counts = {COUNT_FIELDS.get(name, name): count for name, count in detector.counters.items()}
    return dict(sorted(counts.items()))


def _member_view(detector: FailureDetector, member: Member, now: float) -> MemberView:
    round_trip_ms = member.round_trip_ms
    return MemberView(
        name=member.name,
        incarnation=f"{member.incarnation:x}",
        state=detector.table.describe_state(member, now, detector.max_age_ms),
        direct_alive_ms_ago=_ms_ago(member.direct_alive_at, now),
        indirect_alive_ms_ago=_ms_ago(member.indirect_alive_at, now),
        round_trip_ms=None if round_trip_ms is None else round(round_trip_ms, 2),
        refutations=member.refutations,
        bytes_received=member.bytes_received,
        rejected=member.rejected,
    )


def _ms_ago(instant: float, now: float) -> int | None:
    return None if instant == NEVER else round(now - instant)
