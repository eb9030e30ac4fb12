"""The ring against a plain sorted list, and the values that keys and servers have always had."""

import hashlib
import itertools
import random
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.policy import hash_ring as module
from flintridge.policy.hash_ring import LOW_BITS, POINTS, HashRing, place_of, points

settings.register_profile("ring", derandomize=True, deadline=None, database=None)
plain = settings(settings.get_profile("ring"), max_examples=60)

END = (1 << 64) - 1
numbers = st.integers(0, 9)
zones = st.sampled_from([0, 1, -1])
changes = st.lists(st.tuples(numbers, st.sampled_from("abc"), st.none() | zones), max_size=30)
places = st.integers(0, END) | st.sampled_from([0, END]) | st.builds(place_of, st.text(max_size=3))


def reference(listed, place, zone=None):
    entries = sorted(e for n, (s, z) in listed.items() if zone in (None, z) for e in module.points(s, n))
    return [e for e in entries if e >= place] + [e for e in entries if e < place]


def replace(ring, listed, zone=None):
    """Hold the servers of one zone, or of all."""
    ring.replace({server: number for number, (server, z) in listed.items() if zone in (None, z)})


def coarse_points(server, number):
    """Points at few places, so that many entries are told apart by number and rank only."""
    return [entry >> 60 << 60 | entry & LOW_BITS for entry in points(server, number)]


@pytest.mark.parametrize(("together", "made"), [(1, points), (4, points), (1, coarse_points)])
@given(changes=changes, place=places, pick=st.integers(0, 10**6))
@plain
def test_walks_are_those_of_a_sorted_list(together, made, changes, place, pick):
    """The ring of all servers, and those of one zone's servers each, after every few changes."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "points", made)
        listed = {}
        rings = {zone: HashRing() for zone in (None, 0, 1, -1, 7)}
        for at, (number, letter, zone) in enumerate(changes, 1):
            listed.pop(number, None)
            if zone is not None:
                listed[number] = f"{letter}{number}", zone
            if at % together == 0 or at == len(changes):
                for of_zone, ring in rings.items():
                    replace(ring, listed, of_zone)
        everything = reference(listed, 0)
        if everything and pick % 2:  # at an entry, or just past it
            place = min(END, everything[pick % len(everything)] + pick % 4 // 2)
        assert rings[None].numbers == {server: number for number, (server, _) in listed.items()}
        for zone, ring in rings.items():
            assert list(ring.walk(place)) == reference(listed, place, zone)


@given(order=st.permutations(range(6)), extra=st.lists(numbers.map(lambda n: n + 10), unique=True))
@plain
def test_equal_contents_give_equal_walks_whatever_the_order(order, extra):
    for servers in (range(6), range(1, 6, 2)):  # of all zones, of one
        first = HashRing()
        first.replace({f"s{number}": number for number in servers})
        second = HashRing()
        listed = {f"extra{number}": number for number in extra}
        second.replace(listed)
        for number in (number for number in order if number in servers):
            listed[f"s{number}"] = number
            second.replace(listed)
        for number in extra:
            del listed[f"extra{number}"]
            second.replace(listed)
        assert list(first.walk(5)) == list(second.walk(5))


def test_equal_places_are_told_apart_by_number_and_rank(monkeypatch):
    monkeypatch.setattr(
        module, "points", lambda server, number: [1 << 40 | number << 8 | r for r in range(3)]
    )
    ring = HashRing()
    for count in (1, 2, 3):
        ring.replace({f"s{number}": number for number in (2, 0, 1)[:count]})
    low = 1 << 40
    assert list(ring.walk(low)) == [low | n << 8 | r for n in range(3) for r in range(3)]
    assert list(ring.walk(low | 1 << 8 | 1))[:2] == [low | 1 << 8 | 1, low | 1 << 8 | 2]
    ring.replace({"s2": 2, "s0": 0})
    assert list(ring.walk(0)) == [low | n << 8 | r for n in (0, 2) for r in range(3)]


def test_a_large_ring_that_shrinks_and_grows_stays_small_and_right():
    chance, ring = random.Random(4), HashRing()
    listed = {number: (f"s{number}", number % 5) for number in range(300)}
    replace(ring, listed)
    for number in chance.sample(range(300), 292):
        del listed[number]
        replace(ring, listed)
    assert list(ring.walk(place_of("k"))) == reference(listed, place_of("k"))
    assert len(ring.entries) == 8 * POINTS and len(ring.numbers) == 8
    assert sys.getsizeof(ring.entries) < 2 * 8 * 8 * POINTS
    for number in list(listed):
        del listed[number]
        replace(ring, listed)
    assert not ring.numbers and not ring.entries and not list(ring.walk(0))


def test_a_walk_left_early_takes_only_what_it_gave():
    ring = HashRing()
    ring.replace({f"s{number}": number for number in range(200)})
    seen = []
    sys.setprofile(lambda frame, event, arg: seen.append(event))
    try:
        taken = list(itertools.islice(ring.walk(place_of("k")), 20))
    finally:
        sys.setprofile(None)
    assert len(seen) < 500  # of 40,000 entries
    assert taken == list(ring.walk(place_of("k")))[:20]


def test_faults_of_the_caller_change_nothing():
    ring = HashRing()
    ring.replace({"a": 1})
    for number in (1, -1, 1 << 24):
        with pytest.raises(ValueError, match="taken or out of range"):
            ring.replace({"a": 1, "b": number})
    assert list(ring.walk(0)) == sorted(points("a", 1)) and ring.numbers == {"a": 1}
    with pytest.raises(ValueError, match="taken or out of range"):
        ring.replace({"c": 2, "b": 2})
    assert list(ring.walk(0)) == sorted(points("a", 1)) and ring.numbers == {"a": 1}
    ring.replace({"a": 1, "b": (1 << 24) - 1})
    assert len(list(ring.walk(0))) == 2 * POINTS
    listed = {"b": (1 << 24) - 1}
    ring.replace(listed)
    listed["c"] = 3  # the caller's own from then on
    assert list(ring.walk(0)) == sorted(points("b", (1 << 24) - 1)) and ring.numbers == {"b": (1 << 24) - 1}


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
