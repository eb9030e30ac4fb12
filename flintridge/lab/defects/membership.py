"""Planted defects in how a node derives the state of its peers from their messages."""

import itertools

from flintridge.lab.defects.interception import replace_attribute
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member import Member
from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import ANY_INCARNATION, GossipEntry, MessageKind, ProcessId
from flintridge.membership.probe_rotation import TargetGroup
from flintridge.node import Node

UNREACHABLE_PROBED_MS = 5_000  # time after which `silent_never_probed` stops probing unreachable processes
EXTRA_DATAGRAMS_PER_TICK = 10  # sent by `bound_of_bytes_ignored` in addition to the regular datagrams
EVIDENCE_MAX_AGE_MS = 3_600_000.0


def _failure_detector(node: Node) -> FailureDetector:
    assert node.membership is not None
    return node.membership.failure_detector


def gap_ignored(node: Node) -> None:
    """After its own process was paused, the node still trusts the evidence from before the pause."""
    replace_attribute(_failure_detector(node), "_check_clock_gap", lambda now: None)


def receipt_taken_for_proof(node: Node) -> None:
    """The node takes each message to have been sent at the time of its receipt."""
    replace_attribute(_failure_detector(node), "_proven_sent_at", lambda message, now: now)


def hearsay_made_young(node: Node) -> None:
    """The node ignores the age of gossip entries, so that dead processes are gossiped about forever."""
    table = _failure_detector(node).table
    merge_entry = table.merge_entry

    def merge_as_new(
        entry: GossipEntry, sent_at: float, suspicion_ms: float, now: float, max_age_ms: float
    ) -> None:
        ageless = GossipEntry(entry.name, entry.incarnation, entry.refutations, entry.state, 0)
        merge_entry(ageless, sent_at, suspicion_ms, now, max_age_ms)

    replace_attribute(table, "merge_entry", merge_as_new)


def lives_mixed_up(node: Node) -> None:
    """The node takes a restarted process for its previous incarnation."""
    table = _failure_detector(node).table
    find_or_add = MemberTable.find_or_add

    def find_by_name(name: str, incarnation: int, now: float) -> Member | None:
        members = table.members_named(name)
        return members[0] if members else find_or_add(table, name, incarnation, now)

    replace_attribute(table, "find_or_add", find_by_name)


def silent_never_probed(node: Node) -> None:
    """From 5 s after its start, the node no longer probes unreachable processes."""
    detector = _failure_detector(node)
    rotation = detector.rotation
    refill = rotation.refill
    planted_at = detector._now

    def refill_reachable_only(group: TargetGroup) -> None:
        refill(group)
        if detector._now > planted_at + UNREACHABLE_PROBED_MS:
            rotation.targets[TargetGroup.UNREACHABLE] = []

    replace_attribute(rotation, "refill", refill_reachable_only)


def bound_of_bytes_ignored(node: Node) -> None:
    """The node sends ten more gossip datagrams per tick and ignores its byte budget."""
    detector = _failure_detector(node)
    replace_attribute(detector.sender.budget, "try_spend", lambda now, amount: True)
    replace_attribute(detector.sender.budget, "available", lambda now: 1e9)
    tick = detector.tick
    names = itertools.cycle(detector.table.peer_names)

    def tick_and_gossip(now: float) -> None:
        tick(now)
        for _ in range(EXTRA_DATAGRAMS_PER_TICK):
            target = ProcessId(next(names), ANY_INCARNATION)
            detector.sender.send(target, MessageKind.GOSSIP, 0, now)

    replace_attribute(detector, "tick", tick_and_gossip)


def cut_is_not_felt(node: Node) -> None:
    """Evidence of liveness is valid for an hour, so a partitioned node reports the fleet as reachable."""
    detector = _failure_detector(node)
    replace_attribute(detector, "max_age_ms", EVIDENCE_MAX_AGE_MS)
    replace_attribute(detector, "_proven_sent_at", lambda message, now: now)

    def renew(member: Member, now: float, max_age_ms: float) -> bool:
        member.direct_alive_at = max(member.direct_alive_at, now - 1.0)
        return True

    replace_attribute(detector.table, "is_reachable", renew)
