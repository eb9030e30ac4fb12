"""`flintridge ring`: who holds which part of the ring, exactly, by the lengths of arcs.

A key's place has 32 bits, and it belongs to the first entry at its place or clockwise of it. So lengths are
whole numbers of places, out of WHOLE, and add up without error.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from flintridge.cli.ring_lists import Cache, Fleet
from flintridge.policy.hash_ring import POINTS, HashRing, points, position_of

WHOLE = 1 << 32  # places
NUMBER_BITS = (1 << 24) - 1

Numbers = dict[str, int]  # of servers on the ring, by id


def numbered(*fleets: Fleet) -> Numbers:
    """One numbering for all. A node numbers by the order in which it met its servers, which only decides
    between entries of one and the same place: with 5,000 servers about a hundred of a million."""
    ids = sorted({cache.id for fleet in fleets for cache in fleet.caches})
    return {server: number for number, server in enumerate(ids)}


def top_weight(*fleets: Fleet) -> float:
    """The largest, against which a node that has seen these lists measures a server's weight."""
    return max((cache.weight for fleet in fleets for cache in fleet.caches), default=0.0)


def counted(weight: float, top: float) -> int:
    """How many of a server's points a node counts while the server is well and warm.

    A weight of 0 is none told. The same steps as the node's: its rounding can count a point too many.
    """
    root = math.sqrt(min(1.0, weight / top)) if weight and top else 1.0
    return min(POINTS, math.ceil(root * root * POINTS))


def entries(caches: Iterable[Cache], numbers: Numbers, top: float | None = None) -> list[int]:
    """In order: all entries, or those that count by weight against `top`."""
    found: list[int] = []
    for cache in caches:
        count = POINTS if top is None else counted(cache.weight, top)
        found += points(cache.id, numbers[cache.id])[:count]
    found.sort()
    return found


def lengths(ring: list[int]) -> Counter[int]:
    """Of the arcs of each number."""
    found: Counter[int] = Counter()
    for length, _, owner in arcs(ring, ring):
        assert owner is not None
        found[owner] += length
    return found


def arcs(old: list[int], new: list[int]) -> Iterator[tuple[int, int | None, int | None]]:
    """The ring cut wherever either has an entry: each arc's length and its owner in both, by number; None
    where there is no server. Together they are WHOLE, or nothing where both are empty."""
    marks = sorted({entry >> 32 for entry in old} | {entry >> 32 for entry in new})
    if not marks:
        return
    before = marks[-1] - WHOLE
    for mark, was, now in zip(marks, _owners(old, marks), _owners(new, marks), strict=True):
        yield mark - before, was, now
        before = mark


def _owners(ring: list[int], marks: list[int]) -> Iterator[int | None]:
    """Of the arcs that end at the marks: whose is the first entry there or clockwise."""
    at = 0
    for mark in marks:
        while at < len(ring) and ring[at] >> 32 < mark:
            at += 1
        yield ring[at % len(ring)] >> 8 & NUMBER_BITS if ring else None


class Moves(NamedTuple):
    """What a change moves, all as shares of the keys."""

    moved: float
    least: float  # that any way would move between the shares held before and after
    least_by_weight: float  # the same between shares exactly by weight
    pairs: list[tuple[str | None, str | None, float]]  # from, to; the largest first; None: no server


def moves(old: Fleet, new: Fleet) -> Moves:
    """Of a node that has seen both lists, old and then new, with every server well and warm."""
    numbers = numbered(old, new)
    names = list(numbers)
    top = top_weight(old)
    was = entries(old.caches, numbers, top)
    now = entries(new.caches, numbers, max(top, top_weight(new)))
    pairs: Counter[tuple[int | None, int | None]] = Counter()
    held: tuple[Counter[int | None], Counter[int | None]] = Counter(), Counter()
    for length, source, target in arcs(was, now):
        held[0][source] += length
        held[1][target] += length
        if source != target:
            pairs[source, target] += length

    def name(number: int | None) -> str | None:
        return None if number is None else names[number]

    told = [(name(source), name(target), length / WHOLE) for (source, target), length in pairs.items()]
    told.sort(key=lambda pair: (-pair[2], pair[0] or "", pair[1] or ""))
    least = (held[1] - held[0]).total() / WHOLE
    return Moves(pairs.total() / WHOLE, least, _least_by_weight(old, new), told)


def _least_by_weight(old: Fleet, new: Fleet) -> float:
    if not old.caches or not new.caches:
        return 0.0 if old.caches == new.caches else 1.0
    was, now = ideal(old), ideal(new)
    return math.fsum(max(0.0, share - was.get(server, 0.0)) for server, share in now.items())


def ideal(fleet: Fleet) -> dict[str, float]:
    """The share of each server if keys went exactly by weight, as a node takes weights."""
    top = top_weight(fleet)
    weights = {cache.id: cache.weight or top or 1.0 for cache in fleet.caches}
    whole = math.fsum(weights.values())
    return {server: weight / whole for server, weight in weights.items()}


class Step(NamedTuple):
    """A server met clockwise from a key for the first time, by an entry that counts."""

    cache: Cache
    away: float  # from the key, as a share of the ring
    rank: int
    by_weight: bool  # an entry of it came before, at a rank that its weight does not count


def steps(fleet: Fleet, key: str) -> Iterator[Step]:
    """The servers clockwise from a key's place, in the order in which a node would try them."""
    numbers, top, place = numbered(fleet), top_weight(fleet), position_of(key)
    by_number = {numbers[cache.id]: cache for cache in fleet.caches}
    ring = HashRing()
    ring.replace(numbers)
    early: dict[int, bool] = dict.fromkeys(by_number, False)  # not met yet: whether an entry did not count
    for entry in ring.walk(place):
        number, rank = entry >> 8 & NUMBER_BITS, entry & 0xFF
        if number not in early:
            continue
        cache = by_number[number]
        if rank >= counted(cache.weight, top):
            early[number] = True
            continue
        yield Step(cache, ((entry >> 32) - (place >> 32)) % WHOLE / WHOLE, rank, early.pop(number))
        if not early:
            return
