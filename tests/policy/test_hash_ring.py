"""The ring against a plain sorted list, and the values that keys and servers have always had."""

import hashlib
import itertools
import random
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.policy import hash_ring as module
from flintridge.policy.hash_ring import MOST, POINTS, HashRing, place_of, points

settings.register_profile("ring", derandomize=True, deadline=None, database=None)
plain = settings(settings.get_profile("ring"), max_examples=60)

END = (1 << 64) - 1
numbers = st.integers(0, 9)
zones = st.sampled_from([0, 1, -1])
changes = st.lists(st.tuples(numbers, st.sampled_from("abc"), st.none() | zones), max_size=30)
places = st.integers(0, END) | st.sampled_from([0, END]) | st.builds(place_of, st.text(max_size=3))


def reference(held, place, zone=None):
    entries = sorted(e for n, (s, z) in held.items() if zone in (None, z) for e in points(s, n))
    return [e for e in entries if e >= place] + [e for e in entries if e < place]


def changed(ring, held, number, server, zone):
    """Put on with a zone, off without; on again elsewhere if it is there."""
    if number in held:
        del held[number]
        ring.remove(number)
    if zone is not None:
        held[number] = server, zone
        ring.add(server, number, zone)


@pytest.mark.parametrize("most", [3, 16, MOST])  # small buckets split and join all the time
@given(changes=changes, place=places, pick=st.integers(0, 10**6))
@plain
def test_walks_are_those_of_a_sorted_list(most, changes, place, pick):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "MOST", most)
        patch.setattr(module, "LEAST", max(1, most // 8))
        ring, held = HashRing(), {}
        for change in changes:
            changed(ring, held, *change)
        everything = reference(held, 0)
        if everything and pick % 2:  # at an entry, or just past it
            place = min(END, everything[pick % len(everything)] + pick % 4 // 2)
        assert len(ring) == len(held) and [n in ring for n in range(10)] == [n in held for n in range(10)]
        for zone in (None, 0, 1, -1, 7):
            assert list(ring.walk(place, zone)) == reference(held, place, zone)


@given(order=st.permutations(range(6)), extra=st.lists(numbers.map(lambda n: n + 10), unique=True))
@plain
def test_equal_contents_give_equal_walks_whatever_the_order(order, extra):
    first, second = HashRing(), HashRing()
    for number in range(6):
        first.add(f"s{number}", number, number % 2)
    for number in extra:
        second.add(f"s{number % 3}", number, 1)
    for number in order:
        second.add(f"s{number}", number, number % 2)
    for number in extra:
        second.remove(number)
    assert list(first.walk(5)) == list(second.walk(5))
    assert list(first.walk(5, 1)) == list(second.walk(5, 1))


def test_equal_places_are_told_apart_by_number_and_rank(monkeypatch):
    monkeypatch.setattr(
        module, "points", lambda server, number: [1 << 40 | number << 8 | r for r in range(3)]
    )
    ring = HashRing()
    for number in (2, 0, 1):
        ring.add("any", number, number)
    low = 1 << 40
    assert list(ring.walk(low)) == [low | n << 8 | r for n in range(3) for r in range(3)]
    assert list(ring.walk(low | 1 << 8 | 1))[:2] == [low | 1 << 8 | 1, low | 1 << 8 | 2]
    ring.remove(1)
    assert list(ring.walk(0)) == [low | n << 8 | r for n in (0, 2) for r in range(3)]


def test_a_large_ring_that_shrinks_and_grows_stays_small_and_right():
    chance, ring, held = random.Random(4), HashRing(), {}
    for number in range(300):
        changed(ring, held, number, f"s{number}", number % 5)
    for number in chance.sample(range(300), 292):
        changed(ring, held, number, "", None)
    assert list(ring.walk(place_of("k"))) == reference(held, place_of("k"))
    assert sum(len(b._buckets) for b in ring._zones.values()) < 8 * POINTS / module.LEAST + 5
    for number in list(held):
        changed(ring, held, number, "", None)
    assert not len(ring) and not ring._zones and not list(ring.walk(0)) and not list(ring.walk(0, 0))


def test_a_walk_left_early_takes_only_what_it_gave():
    ring = HashRing()
    for number in range(200):
        ring.add(f"s{number}", number, number % 5)
    seen = []
    sys.setprofile(lambda frame, event, arg: seen.append(event))
    try:
        list(itertools.islice(ring.walk(place_of("k")), 20))
    finally:
        sys.setprofile(None)
    assert len(seen) < 500  # of 40,000 entries


def test_faults_of_the_caller_change_nothing():
    ring = HashRing()
    ring.add("a", 1)
    for number in (1, -1, 1 << 24):
        with pytest.raises(ValueError):
            ring.add("b", number)
    with pytest.raises(KeyError):
        ring.remove(2)
    assert list(ring.walk(0)) == sorted(points("a", 1)) and len(ring) == 1
    ring.add("b", (1 << 24) - 1)
    assert len(list(ring.walk(0))) == 2 * POINTS


def test_keys_and_servers_stand_where_they_always_did():
    """Values of the code before this module: a change would move every key of every fleet."""
    known = {"": 16476032582304137216, "menu:17": 6657010179915120640, "käse": 8389782600541011968}
    assert {text: place_of(text) for text in known} == known
    for server, number, first, digest in (
        ("s-5be2a07c", 0, 3416237942383837184, "c4dff67953f5f002"),
        ("10.0.0.1:8080", 7, 18404965084280391424, "bf1801afdb2fa83d"),
        ("x", 0xFFFFFF, 11434748138041114368, "746c9a4c83e35c6b"),
    ):
        entries = points(server, number)
        assert len(entries) == POINTS and entries[0] == first
        assert hashlib.sha256(repr(entries).encode()).hexdigest()[:16] == digest
