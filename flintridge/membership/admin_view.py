"""The answer to GET /admin/peers: a node's view of its peers, as JSON values."""

from typing import Any

from flintridge.config.node_config import PeersConfig
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member import NEVER, Member

# Counters whose name in the JSON, which others read, is an older one.
COUNT_FIELDS = {
    "acks_from_wrong_member": "answers_of_another",
    "dropped_too_many_incarnations": "dropped_lives",
    "dropped_unauthenticated": "dropped_unsealed",
    "indirect_probes_rejected": "errands_refused",
    "payloads_too_long": "facts_long",
    "payloads_unknown": "facts_unknown",
    "probes_acked_indirectly": "probes_by_others",
}


def membership_view(
    config: PeersConfig, detector: FailureDetector, owns_address: bool, now: float
) -> dict[str, Any]:
    """The JSON object; times are milliseconds ago, null where there is none.

    Args:
        config: Of the node's `[peers]`.
        detector: Of this process, refreshed at `now`.
        owns_address: Whether this process has the configured address.
        now: The present instant, in float milliseconds.
    """
    table = detector.table
    view = detector.reachability
    members = [_member_view(detector, member, now) for member in table]
    known_names = {member["name"] for member in members}
    members += [
        {"name": name, "life": None, "state": "silent"}
        for name in table.peer_names
        if name not in known_names
    ]
    return {
        "name": table.local_name,
        "life": f"{table.incarnation:x}",
        "fleet": config.fleet,
        "sealed": config.key is not None,
        "holds_address": owns_address,
        "heard": view.reachable,
        "of": view.names,
        "epoch": view.epoch,
        "heard_for_ms": round(now - view.since[view.reachable]),
        "limit_ms": round(detector.max_age_ms),
        "slowness": detector.local_health_penalty,
        "bytes_per_s": config.bytes_per_s,
        "lives": sorted(members, key=lambda member: (member["name"], str(member["life"]))),
        "counts": _counts(detector),
    }


def _counts(detector: FailureDetector) -> dict[str, int]:
    counts = {COUNT_FIELDS.get(name, name): count for name, count in detector.counters.items()}
    return dict(sorted(counts.items()))


def _member_view(detector: FailureDetector, member: Member, now: float) -> dict[str, Any]:
    round_trip = member.round_trip_ms
    return {
        "name": member.name,
        "life": f"{member.incarnation:x}",
        "state": detector.table.describe_state(member, now, detector.max_age_ms),
        "heard_ms_ago": _ms_ago(member.direct_alive_at, now),
        "told_ms_ago": _ms_ago(member.indirect_alive_at, now),
        "round_trip_ms": None if round_trip is None else round(round_trip, 2),
        "incarnation": member.refutations,
        "bytes_in": member.bytes_received,
        "refused": member.rejected,
    }


def _ms_ago(instant: float, now: float) -> int | None:
    return None if instant == NEVER else round(now - instant)
