"""Planted defects in what a node makes of its peers' messages."""

import itertools

from flintridge.lab.defects.wrapping import put
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member import Member
from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import ANY_INCARNATION, GossipEntry, MessageKind, ProcessId
from flintridge.membership.probe_rotation import TargetGroup
from flintridge.node import Node

UNREACHABLE_PROBED_MS = 5_000  # after which `silent_never_probed` gives them up
DATAGRAMS_A_TICK = 10  # that `bound_of_bytes_ignored` sends beyond its own


def _failure_detector(node: Node) -> FailureDetector:
    assert node.membership is not None
    return node.membership.failure_detector


def gap_ignored(node: Node) -> None:
    """After a pause of its own the node goes on with what it knew."""
    put(_failure_detector(node), "_check_clock_gap", lambda now: None)


def receipt_taken_for_proof(node: Node) -> None:
    """Whatever is received is taken to have been sent just now."""
    put(_failure_detector(node), "_proven_sent_at", lambda message, now: now)


def hearsay_made_young(node: Node) -> None:
    """The age of gossip entries is left out, so that nodes tell one another of the dead for ever."""
    table = _failure_detector(node).table
    merge_entry = table.merge_entry

    def merge_as_new(
        entry: GossipEntry, sent_at: float, suspicion_ms: float, now: float, max_age_ms: float
    ) -> None:
        ageless = GossipEntry(entry.name, entry.incarnation, entry.refutations, entry.state, 0)
        merge_entry(ageless, sent_at, suspicion_ms, now, max_age_ms)

    put(table, "merge_entry", merge_as_new)


def lives_mixed_up(node: Node) -> None:
    """A process that starts anew under its name is taken for the one before."""
    table = _failure_detector(node).table
    find_or_add = MemberTable.find_or_add

    def first_of_name(name: str, incarnation: int, now: float) -> Member | None:
        known = table.members_named(name)
        return known[0] if known else find_or_add(table, name, incarnation, now)

    put(table, "find_or_add", first_of_name)


def silent_never_probed(node: Node) -> None:
    """Whoever became unreachable is not probed any more."""
    detector = _failure_detector(node)
    rotation = detector.rotation
    refill = rotation.refill
    began_at = detector._now

    def refill_reachable_only(group: TargetGroup) -> None:
        refill(group)
        if detector._now > began_at + UNREACHABLE_PROBED_MS:
            rotation.targets[TargetGroup.UNREACHABLE] = []

    put(rotation, "refill", refill_reachable_only)


def bound_of_bytes_ignored(node: Node) -> None:
    """The node tells each of its peers all that it knows, ten times a tick."""
    detector = _failure_detector(node)
    put(detector.sender.budget, "try_spend", lambda now, amount: True)
    put(detector.sender.budget, "available", lambda now: 1e9)
    tick = detector.tick
    names = itertools.cycle(detector.table.peer_names)

    def tick_and_gossip(now: float) -> None:
        tick(now)
        for _ in range(DATAGRAMS_A_TICK):
            target = ProcessId(next(names), ANY_INCARNATION)
            detector.sender.send(target, MessageKind.GOSSIP, 0, now)

    put(detector, "tick", tick_and_gossip)


def cut_is_not_felt(node: Node) -> None:
    """Evidence counts for an hour, so that a node that is cut off believes the fleet is there."""
    detector = _failure_detector(node)
    put(detector, "max_age_ms", 3_600_000.0)
    put(detector, "_proven_sent_at", lambda message, now: now)

    def renew(member: Member, now: float, max_age_ms: float) -> bool:
        member.direct_alive_at = max(member.direct_alive_at, now - 1.0)
        return True

    put(detector.table, "is_reachable", renew)
