"""The ring against a plain sorted list, and the values that keys and servers have always had."""

import hashlib
import itertools
import random
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.policy import hash_ring as module
from flintridge.policy.hash_ring import LOW_BITS, POINTS, HashRing, points, position_of

settings.register_profile("ring", derandomize=True, deadline=None, database=None)
plain = settings(settings.get_profile("ring"), max_examples=60)

END = (1 << 64) - 1
numbers = st.integers(0, 9)
zones = st.sampled_from([0, 1, -1])
changes = st.lists(st.tuples(numbers, st.sampled_from("abc"), st.none() | zones), max_size=30)
places = st.integers(0, END) | st.sampled_from([0, END]) | st.builds(position_of, st.text(max_size=3))


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
    rng, ring = random.Random(4), HashRing()
    listed = {number: (f"s{number}", number % 5) for number in range(300)}
    replace(ring, listed)
    for number in rng.sample(range(300), 292):
        del listed[number]
        replace(ring, listed)
    assert list(ring.walk(position_of("k"))) == reference(listed, position_of("k"))
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
        taken = list(itertools.islice(ring.walk(position_of("k")), 20))
    finally:
        sys.setprofile(None)
    assert len(seen) < 500  # of 40,000 entries
    assert taken == list(ring.walk(position_of("k")))[:20]


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
    assert {text: position_of(text) for text in known} == known
    for server, number, first, digest in (
        ("s-5be2a07c", 0, 3416237942383837184, "c4dff67953f5f002"),
        ("10.0.0.1:8080", 7, 18404965084280391424, "bf1801afdb2fa83d"),
        ("x", 0xFFFFFF, 11434748138041114368, "746c9a4c83e35c6b"),
    ):
        entries = points(server, number)
        assert len(entries) == POINTS and entries[0] == first
        assert hashlib.sha256(repr(entries).encode()).hexdigest()[:16] == digest


class PlainRing:
    """The ring as one sorted array, filtered and sorted as a whole for each change: the plain way."""

    def __init__(self):
        self.numbers = {}

    def walk(self, place):
        entries = sorted(e for server, number in self.numbers.items() for e in module.points(server, number))
        return [e for e in entries if e >= place] + [e for e in entries if e < place]


steps = st.lists(
    st.tuples(st.sampled_from(["add", "add_all", "remove", "look"]), st.lists(numbers, max_size=4), places),
    max_size=20,
)


@pytest.mark.parametrize("made", [points, coarse_points])
@given(steps=steps, renamed=st.integers(0, 3))
@plain
def test_a_ring_after_any_changes_equals_one_built_anew(made, steps, renamed):
    """Numbers are used again by servers of other names, in buckets that are sorted and that are not yet."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "points", made)
        ring, plain_ring = HashRing(), PlainRing()
        for at, (kind, chosen, place) in enumerate(steps):
            taken = set(plain_ring.numbers.values())
            coming = {f"s{n}-{at % (renamed + 1)}": n for n in chosen if n not in taken}
            if kind == "remove":
                for server in [s for s, n in plain_ring.numbers.items() if n in chosen]:
                    ring.remove(server)
                    del plain_ring.numbers[server]
            elif kind == "look":
                assert list(itertools.islice(ring.walk(place), 3)) == plain_ring.walk(place)[:3]
            else:
                if kind == "add_all":
                    ring.add_all(coming)
                else:
                    for server, number in coming.items():
                        ring.add(server, number)
                plain_ring.numbers.update(coming)
        anew = HashRing()
        anew.add_all(plain_ring.numbers)
        assert list(ring.entries) == list(anew.entries) == plain_ring.walk(0)
        assert ring.numbers == plain_ring.numbers


def test_a_change_makes_the_points_of_its_own_servers_only(monkeypatch):
    made = []
    monkeypatch.setattr(
        module, "points", lambda server, number: made.append(server) or points(server, number)
    )
    ring = HashRing()
    listed = {f"s{number}": number for number in range(400)}
    ring.replace(listed)
    assert len(made) == 400
    made.clear()
    ring.add("new", 400)
    ring.remove("s7")
    ring.replace({server: number for server, number in ring.numbers.items() if server != "s8"})
    assert made == ["new", "s7", "s8"]


def test_many_servers_are_sorted_in_bucket_by_bucket_as_they_are_looked_at(monkeypatch):
    """Guards the event loop: a first list of thousands was sorted as a whole."""
    looked_at = []
    monkeypatch.setattr(
        module, "sorted", lambda entries: looked_at.append(len(entries)) or sorted(entries), raising=False
    )
    ring = HashRing()
    ring.add_all({f"s{number}": number for number in range(100)})
    ring.add("one", 100)
    ring.remove("s3")
    assert not looked_at
    next(ring.walk(position_of("k")))
    next(ring.walk(position_of("k")))
    assert len(looked_at) == 1 and looked_at[0] < 100 * POINTS / 100
    ring.add("two", 101)  # into the sorted bucket at its place, into the others at their ends
    assert len(looked_at) == 1
    assert len(ring.entries) == 101 * POINTS and len(looked_at) == module.BUCKETS


def test_a_server_that_is_there_or_that_is_not_is_refused():
    ring = HashRing()
    ring.add("a", 1)
    for add in (lambda: ring.add("a", 2), lambda: ring.add("b", 1), lambda: ring.add_all({"c": 3, "d": 3})):
        with pytest.raises(ValueError, match=r"already|taken or out of range"):
            add()
    with pytest.raises(KeyError):
        ring.remove("b")
    assert ring.numbers == {"a": 1} and list(ring.entries) == sorted(points("a", 1))
