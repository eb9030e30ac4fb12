"""`flintridge ring`: the servers' exact shares of the ring, by the lengths of arcs.

A key's position has 32 bits, and the key belongs to the first entry at its position or clockwise of it. So
lengths are whole numbers of positions, out of RING_POSITIONS, and add up without rounding errors.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from flintridge.cli.ring_lists import Cache, Fleet
from flintridge.policy.hash_ring import POINTS, HashRing, points, position_of

RING_POSITIONS = 1 << 32
NUMBER_MASK = (1 << 24) - 1

ServerNumbers = dict[str, int]  # the numbers of servers on the ring, by id


class Arc(NamedTuple):
    """A piece of the ring between two adjacent entries of either of two lists.

    Attributes:
        length: The length in positions.
        old_owner: The number of the server that the arc belongs to in the old list; None for no server.
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
    """The keys that a change moves, all as shares of the keys.

    Attributes:
        moved: The share that moves.
        min_by_shares: The minimum that must move for the servers' shares before and after the change.
        min_by_weight: The same for shares exactly proportional to weight.
        pairs: The moves by source and target, the largest first.
    """

    moved: float
    min_by_shares: float
    min_by_weight: float
    pairs: list[Move]


class Step(NamedTuple):
    """A server on the walk clockwise from a key, at the first of its entries that counts.

    Attributes:
        cache: The server.
        away: The distance from the key, as a fraction of the ring.
        rank: The rank of the entry among the server's points.
        passed_for_weight: Whether an earlier entry of the server is not counted because its rank is too high
            for the server's weight.
    """

    cache: Cache
    away: float
    rank: int
    passed_for_weight: bool


def server_numbers(*fleets: Fleet) -> ServerNumbers:
    """Number the servers of all fleets.

    A node numbers its servers in the order in which it first sees them. The number only decides between
    entries at the same position: with 5,000 servers, about a hundred of a million.
    """
    ids = sorted({cache.id for fleet in fleets for cache in fleet.caches})
    return {server: number for number, server in enumerate(ids)}


def max_weight(*fleets: Fleet) -> float:
    """Return the largest weight, to which weights are relative in a node that has seen these lists."""
    return max((cache.weight for fleet in fleets for cache in fleet.caches), default=0.0)


def counted_points(weight: float, heaviest: float) -> int:
    """Return how many of a server's points a node counts while the server is healthy and warmed up.

    Computes in the same steps as the node, whose rounding can count one point too many.

    Args:
        weight: The server's weight; 0 for none.
        heaviest: The largest weight of all servers.
    """
    root = 1.0
    if weight and heaviest:
        root = math.sqrt(min(1.0, weight / heaviest))
    return min(POINTS, math.ceil(root * root * POINTS))


def ring_entries(caches: Iterable[Cache], numbers: ServerNumbers, heaviest: float | None = None) -> list[int]:
    """Return the sorted entries: all, or with `heaviest` those that count for each server's weight."""
    entries: list[int] = []
    for cache in caches:
        count = POINTS if heaviest is None else counted_points(cache.weight, heaviest)
        entries += points(cache.id, numbers[cache.id])[:count]
    entries.sort()
    return entries


def arc_lengths(ring: list[int]) -> Counter[int]:
    """Return the total length of each server's arcs, by its number."""
    lengths: Counter[int] = Counter()
    for arc in arcs(ring, ring):
        assert arc.new_owner is not None
        lengths[arc.new_owner] += arc.length
    return lengths


def arcs(old: list[int], new: list[int]) -> Iterator[Arc]:
    """Cut the ring at each entry of either list.

    Returns:
        The arcs. Their total length is RING_POSITIONS, or 0 if both lists are empty.
    """
    cuts = sorted({entry >> 32 for entry in old} | {entry >> 32 for entry in new})
    if not cuts:
        return
    previous = cuts[-1] - RING_POSITIONS
    for cut, old_owner, new_owner in zip(cuts, _owners(old, cuts), _owners(new, cuts), strict=True):
        yield Arc(cut - previous, old_owner, new_owner)
        previous = cut


def _owners(ring: list[int], cuts: list[int]) -> Iterator[int | None]:
    """Yield the owner of the arc that ends at each cut: the server of the first entry there or clockwise."""
    index = 0
    for cut in cuts:
        while index < len(ring) and ring[index] >> 32 < cut:
            index += 1
        yield ring[index % len(ring)] >> 8 & NUMBER_MASK if ring else None


def moves(old: Fleet, new: Fleet) -> Moves:
    """Compute the moves of a node that has seen `old` and then `new`, with every server healthy and warm."""
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
    """Return each server's share if shares are exactly proportional to weight, as a node reads weights."""
    heaviest = max_weight(fleet)
    weights = {cache.id: cache.weight or heaviest or 1.0 for cache in fleet.caches}
    total = math.fsum(weights.values())
    return {server: weight / total for server, weight in weights.items()}


def steps(fleet: Fleet, key: str) -> Iterator[Step]:
    """Yield the servers clockwise from a key's position, in the order in which a node tries them."""
    numbers = server_numbers(fleet)
    heaviest = max_weight(fleet)
    position = position_of(key)
    by_number = {numbers[cache.id]: cache for cache in fleet.caches}
    ring = HashRing()
    ring.replace(numbers)
    # The servers without a step yet, and whether an entry of each was passed over.
    passed: dict[int, bool] = dict.fromkeys(by_number, False)
    for entry in ring.walk(position):
        number = entry >> 8 & NUMBER_MASK
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
