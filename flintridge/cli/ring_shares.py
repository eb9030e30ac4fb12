"""`flintridge ring`: which server has which share of the ring, exactly, by the lengths of arcs.

A key's position has 32 bits, and it belongs to the first entry at its position or clockwise of it. So lengths
are whole numbers of positions, out of RING_POSITIONS, and add up without error.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from flintridge.cli.ring_lists import Cache, Fleet
from flintridge.policy.hash_ring import POINTS, HashRing, points, position_of

RING_POSITIONS = 1 << 32
NUMBER_BITS = (1 << 24) - 1

Numbers = dict[str, int]  # of servers on the ring, by id


class Arc(NamedTuple):
    """A piece of the ring between two entries of either of two lists.

    Attributes:
        length: In positions.
        old_owner: The number of the server that has it in the old list; None for no server.
        new_owner: The same in the new list.
    """

    length: int
    old_owner: int | None
    new_owner: int | None


class Move(NamedTuple):
    """The share of the keys that moves from one server to another; None for no server."""

    source: str | None
    target: str | None
    share: float


class Moves(NamedTuple):
    """What a change moves, all as shares of the keys.

    Attributes:
        moved: All that moves.
        min_by_shares: What any way would move between the shares before and after.
        min_by_weight: The same between shares exactly by weight.
        pairs: By source and target, the largest first.
    """

    moved: float
    min_by_shares: float
    min_by_weight: float
    pairs: list[Move]


class Step(NamedTuple):
    """A server met clockwise from a key for the first time, by an entry that counts.

    Attributes:
        cache: The server.
        away: How far from the key, as a share of the ring.
        rank: Which of the server's points it is.
        passed_for_weight: Whether an entry of it came before, at a rank that its weight does not count.
    """

    cache: Cache
    away: float
    rank: int
    passed_for_weight: bool


def server_numbers(*fleets: Fleet) -> Numbers:
    """One numbering for all.

    A node numbers by the order in which it met its servers, which only decides between entries of one and the
    same position: with 5,000 servers about a hundred of a million.
    """
    ids = sorted({cache.id for fleet in fleets for cache in fleet.caches})
    return {server: number for number, server in enumerate(ids)}


def max_weight(*fleets: Fleet) -> float:
    """The largest, against which a node that has seen these lists measures a server's weight."""
    return max((cache.weight for fleet in fleets for cache in fleet.caches), default=0.0)


def counted_points(weight: float, heaviest: float) -> int:
    """How many of a server's points a node counts while the server is well and warm.

    The same steps as the node's: its rounding can count a point too many.

    Args:
        weight: The server's; 0 for none.
        heaviest: The largest weight of all.
    """
    root = 1.0
    if weight and heaviest:
        root = math.sqrt(min(1.0, weight / heaviest))
    return min(POINTS, math.ceil(root * root * POINTS))


def ring_entries(caches: Iterable[Cache], numbers: Numbers, heaviest: float | None = None) -> list[int]:
    """In order: all entries, or those that count by weight against `heaviest`."""
    entries: list[int] = []
    for cache in caches:
        count = POINTS if heaviest is None else counted_points(cache.weight, heaviest)
        entries += points(cache.id, numbers[cache.id])[:count]
    entries.sort()
    return entries


def arc_lengths(ring: list[int]) -> Counter[int]:
    """The sum of the arcs of each number."""
    lengths: Counter[int] = Counter()
    for arc in arcs(ring, ring):
        assert arc.new_owner is not None
        lengths[arc.new_owner] += arc.length
    return lengths


def arcs(old: list[int], new: list[int]) -> Iterator[Arc]:
    """Cut the ring wherever either list has an entry.

    Returns:
        The arcs. Together they are RING_POSITIONS long, or nothing where both are empty.
    """
    cuts = sorted({entry >> 32 for entry in old} | {entry >> 32 for entry in new})
    if not cuts:
        return
    previous = cuts[-1] - RING_POSITIONS
    for cut, old_owner, new_owner in zip(cuts, _owners(old, cuts), _owners(new, cuts), strict=True):
        yield Arc(cut - previous, old_owner, new_owner)
        previous = cut


def _owners(ring: list[int], cuts: list[int]) -> Iterator[int | None]:
    """Of the arcs that end at the cuts: whose is the first entry there or clockwise."""
    index = 0
    for cut in cuts:
        while index < len(ring) and ring[index] >> 32 < cut:
            index += 1
        yield ring[index % len(ring)] >> 8 & NUMBER_BITS if ring else None


def moves(old: Fleet, new: Fleet) -> Moves:
    """Of a node that has seen both lists, old and then new, with every server well and warm."""
    numbers = server_numbers(old, new)
    names: dict[int | None, str | None] = {number: server for server, number in numbers.items()}
    names[None] = None
    heaviest = max_weight(old)
    old_ring = ring_entries(old.caches, numbers, heaviest)
    new_ring = ring_entries(new.caches, numbers, max(heaviest, max_weight(new)))
    moved: Counter[tuple[int | None, int | None]] = Counter()
    old_lengths: Counter[int | None] = Counter()
    new_lengths: Counter[int | None] = Counter()
    for arc in arcs(old_ring, new_ring):
        old_lengths[arc.old_owner] += arc.length
        new_lengths[arc.new_owner] += arc.length
        if arc.old_owner != arc.new_owner:
            moved[arc.old_owner, arc.new_owner] += arc.length
    pairs = [
        Move(names[source], names[target], length / RING_POSITIONS)
        for (source, target), length in moved.items()
    ]
    pairs.sort(key=lambda pair: (-pair.share, pair.source or "", pair.target or ""))
    return Moves(
        moved=moved.total() / RING_POSITIONS,
        min_by_shares=(new_lengths - old_lengths).total() / RING_POSITIONS,
        min_by_weight=_min_by_weight(old, new),
        pairs=pairs,
    )


def _min_by_weight(old: Fleet, new: Fleet) -> float:
    if not old.caches or not new.caches:
        return 0.0 if old.caches == new.caches else 1.0
    before = shares_by_weight(old)
    after = shares_by_weight(new)
    return math.fsum(max(0.0, share - before.get(server, 0.0)) for server, share in after.items())


def shares_by_weight(fleet: Fleet) -> dict[str, float]:
    """The share of each server if keys went exactly by weight, as a node takes weights."""
    heaviest = max_weight(fleet)
    weights = {cache.id: cache.weight or heaviest or 1.0 for cache in fleet.caches}
    total = math.fsum(weights.values())
    return {server: weight / total for server, weight in weights.items()}


def steps(fleet: Fleet, key: str) -> Iterator[Step]:
    """The servers clockwise from a key's position, in the order in which a node would try them."""
    numbers = server_numbers(fleet)
    heaviest = max_weight(fleet)
    position = position_of(key)
    by_number = {numbers[cache.id]: cache for cache in fleet.caches}
    ring = HashRing()
    ring.replace(numbers)
    # Of the servers not met yet: whether an entry of it was passed over.
    passed: dict[int, bool] = dict.fromkeys(by_number, False)
    for entry in ring.walk(position):
        number = entry >> 8 & NUMBER_BITS
        rank = entry & 0xFF
        if number not in passed:
            continue
        cache = by_number[number]
        if rank >= counted_points(cache.weight, heaviest):
            passed[number] = True
            continue
        distance = ((entry >> 32) - (position >> 32)) % RING_POSITIONS
        yield Step(cache, distance / RING_POSITIONS, rank, passed.pop(number))
        if not passed:
            return
