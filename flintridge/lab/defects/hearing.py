"""Mistakes in what a node makes of its peers' words."""

import itertools

from flintridge.lab.defects.wrapping import put
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import Entry, Kind
from flintridge.node import Node


def _presence(node: Node) -> FailureDetector:
    assert node.membership is not None
    return node.membership.failure_detector


def gap_ignored(node: Node) -> None:
    """After a pause of its own the node goes on with what it knew."""
    put(_presence(node), "_look", lambda now: None)


def receipt_taken_for_proof(node: Node) -> None:
    """Whatever comes in is taken to have been sent just now."""
    put(_presence(node), "_proved", lambda packet, now: now)


def hearsay_made_young(node: Node) -> None:
    """The age of others' words is left out, so that they tell one another of the dead for ever."""
    table = _presence(node).table
    told = table.told

    def young(entry: Entry, as_of: float, doubt: float, now: float, limit: float) -> None:
        told(Entry(entry.name, entry.life, entry.incarnation, entry.state, 0), as_of, doubt, now, limit)

    put(table, "told", young)


def lives_mixed_up(node: Node) -> None:
    """A process that starts anew under its name is taken for the one before."""
    table = _presence(node).table
    take = MemberTable.take

    def first_of_name(name: str, life: int, now: float) -> object:
        held = table.of(name)
        return held[0] if held else take(table, name, life, now)

    put(table, "take", first_of_name)


def silent_never_probed(node: Node) -> None:
    """Whoever fell silent is not looked for any more, nor answered."""
    presence = _presence(node)
    fill = presence._fill_targets
    begun = presence._now

    def heard_only(only: bool | None = None) -> None:
        fill(only)
        if presence._now > begun + 5_000:
            presence._targets[False] = []

    put(presence, "_fill_targets", heard_only)


def bound_of_bytes_ignored(node: Node) -> None:
    """The node tells each of its peers all that it knows, ten times a tick."""
    presence = _presence(node)
    put(presence._bucket, "take", lambda now, amount: True)
    put(presence._bucket, "room", lambda now: 1e9)
    tick = presence.tick
    names = itertools.cycle(presence.table.names)

    def chatty(now: float) -> None:
        tick(now)
        for _ in range(10):
            presence._send(next(names), 0, Kind.NEWS, 0, now)

    put(presence, "tick", chatty)


def cut_is_not_felt(node: Node) -> None:
    """Words of a life count for an hour, so that a node that is cut off believes the fleet is there."""
    put(_presence(node), "limit", 3_600_000.0)
    put(_presence(node), "_proved", lambda packet, now: now)
    table = _presence(node).table
    put(table, "is_fresh", lambda one, now, limit: _kept(one, now))


def _kept(one: object, now: float) -> bool:
    one.heard_at = max(one.heard_at, now - 1.0)  # type: ignore[attr-defined]  # a Life
    return True
