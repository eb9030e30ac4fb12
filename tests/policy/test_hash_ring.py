"""The hash ring, compared with a sorted list, and the stability of positions on it."""

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
positions = st.integers(0, END) | st.sampled_from([0, END]) | st.builds(position_of, st.text(max_size=3))


def reference(listed, position, zone=None):
    entries = sorted(e for n, (s, z) in listed.items() if zone in (None, z) for e in module.points(s, n))
    return [e for e in entries if e >= position] + [e for e in entries if e < position]


def replace(ring, listed, zone=None):
    """Replaces the servers on the ring by those of one zone, or by all."""
    ring.replace({server: number for number, (server, z) in listed.items() if zone in (None, z)})


def coarse_points(server, number):
    """Points at few positions, so that many entries differ only in number and rank."""
    return [entry >> 60 << 60 | entry & LOW_BITS for entry in points(server, number)]


@pytest.mark.parametrize(("together", "made"), [(1, points), (4, points), (1, coarse_points)])
@given(changes=changes, position=positions, pick=st.integers(0, 10**6))
@plain
def test_walks_equal_those_of_a_sorted_list(together, made, changes, position, pick):
    """Compares a ring of all servers and a ring of each zone, after every few changes."""
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
        if everything and pick % 2:  # at an entry or just after it
            position = min(END, everything[pick % len(everything)] + pick % 4 // 2)
        assert rings[None].numbers == {server: number for number, (server, _) in listed.items()}
        for zone, ring in rings.items():
            assert list(ring.walk(position)) == reference(listed, position, zone)


@given(order=st.permutations(range(6)), extra=st.lists(numbers.map(lambda n: n + 10), unique=True))
@plain
def test_equal_contents_give_equal_walks_after_any_order_of_changes(order, extra):
    for servers in (range(6), range(1, 6, 2)):  # servers of all zones, of one zone
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


def test_entries_at_equal_positions_are_sorted_by_number_and_rank(monkeypatch):
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


def test_a_large_ring_that_shrinks_becomes_small_and_stays_correct():
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


def test_a_walk_that_ends_early_reads_only_the_entries_that_it_returned():
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


def test_invalid_arguments_leave_the_ring_unchanged():
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
    listed["c"] = 3  # the ring has its own copy
    assert list(ring.walk(0)) == sorted(points("b", (1 << 24) - 1)) and ring.numbers == {"b": (1 << 24) - 1}


def test_keys_and_servers_keep_their_positions():
    """The values are those of an earlier implementation: a change would move every key of every fleet."""
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
    """A simple model of the ring, which sorts all entries for each walk."""

    def __init__(self):
        self.numbers = {}

    def walk(self, position):
        entries = sorted(e for server, number in self.numbers.items() for e in module.points(server, number))
        return [e for e in entries if e >= position] + [e for e in entries if e < position]


steps = st.lists(
    st.tuples(
        st.sampled_from(["add", "add_all", "remove", "look"]), st.lists(numbers, max_size=4), positions
    ),
    max_size=20,
)


@pytest.mark.parametrize("made", [points, coarse_points])
@given(steps=steps, renamed=st.integers(0, 3))
@plain
def test_a_ring_after_any_changes_equals_a_new_one(made, steps, renamed):
    """Servers with other names reuse numbers, in sorted and in unsorted buckets."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "points", made)
        ring, plain_ring = HashRing(), PlainRing()
        for at, (kind, chosen, position) in enumerate(steps):
            taken = set(plain_ring.numbers.values())
            coming = {f"s{n}-{at % (renamed + 1)}": n for n in chosen if n not in taken}
            if kind == "remove":
                for server in [s for s, n in plain_ring.numbers.items() if n in chosen]:
                    ring.remove(server)
                    del plain_ring.numbers[server]
            elif kind == "look":
                assert list(itertools.islice(ring.walk(position), 3)) == plain_ring.walk(position)[:3]
            else:
                if kind == "add_all":
                    ring.add_all(coming)
                else:
                    for server, number in coming.items():
                        ring.add(server, number)
                plain_ring.numbers.update(coming)
        new_ring = HashRing()
        new_ring.add_all(plain_ring.numbers)
        assert list(ring.entries) == list(new_ring.entries) == plain_ring.walk(0)
        assert ring.numbers == plain_ring.numbers


def test_a_change_computes_only_the_points_of_its_own_servers(monkeypatch):
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


def test_buckets_are_sorted_one_by_one_when_they_are_read_after_a_bulk_addition(monkeypatch):
    """Guards the event loop, which was blocked while a first list of thousands was sorted as a whole."""
    sorted_sizes = []
    monkeypatch.setattr(
        module, "sorted", lambda entries: sorted_sizes.append(len(entries)) or sorted(entries), raising=False
    )
    ring = HashRing()
    ring.add_all({f"s{number}": number for number in range(100)})
    ring.add("one", 100)
    ring.remove("s3")
    assert not sorted_sizes
    next(ring.walk(position_of("k")))
    next(ring.walk(position_of("k")))
    assert len(sorted_sizes) == 1 and sorted_sizes[0] < 100 * POINTS / 100
    ring.add("two", 101)  # inserted into the sorted bucket, appended to the others
    assert len(sorted_sizes) == 1
    assert len(ring.entries) == 101 * POINTS and len(sorted_sizes) == module.BUCKETS


def test_adding_a_server_twice_and_removing_an_unknown_one_raise_errors():
    ring = HashRing()
    ring.add("a", 1)
    for add in (lambda: ring.add("a", 2), lambda: ring.add("b", 1), lambda: ring.add_all({"c": 3, "d": 3})):
        with pytest.raises(ValueError, match=r"already|taken or out of range"):
            add()
    with pytest.raises(KeyError):
        ring.remove("b")
    assert ring.numbers == {"a": 1} and list(ring.entries) == sorted(points("a", 1))
