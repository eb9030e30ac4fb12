"""The selection of the servers and nodes that a fault affects."""

import random

import pytest

from flintridge.lab.faults.target_selection import Candidate, fault_generators, select_nodes, select_servers
from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds

ZONES, KINDS = ["east"] * 4 + ["west"] * 4, ["small", "big"] * 4
CANDIDATES = [Candidate(f"x{i}", f"s{i}", ZONES[i], KINDS[i]) for i in range(8)]
SELECTIONS = [
    ({"share": 0.01}, 1),
    ({"share": 0.01, "zone": "west"}, 1),
    ({"share": 1.0}, 8),
    ({"count": 3}, 3),
]
SELECTIONS += [({"count": 99, "kind": "big"}, 4), ({"zone": "west", "kind": "big"}, 2)]
SELECTIONS += [({"ids": ("s1", "x5", "s9")}, 2)]


@pytest.mark.parametrize(("named", "count"), SELECTIONS)
def test_servers_are_selected_among_those_of_the_zone_and_kind(named, count):
    fault = m.Crash(**named)
    selected = select_servers(fault, CANDIDATES, random.Random(1))
    assert len(selected) == count and selected == select_servers(fault, CANDIDATES, random.Random(1))
    in_zone = [c.id for c in CANDIDATES if named.get("zone", c.zone) == c.zone]
    assert set(selected) <= {
        c.id for c in CANDIDATES if c.id in in_zone and named.get("kind", c.kind) == c.kind
    }


def test_the_draws_of_a_fault_do_not_depend_on_other_faults():
    one, two = m.Crash(at_s=1.0, count=2), m.Drain(at_s=1.0, count=2)
    alone, with_others = fault_generators([one], Seeds(1)), fault_generators([two, one, one], Seeds(1))
    draws = [rng.random() for rng in (alone[0], *with_others)]
    assert draws[0] == draws[2] and len(set(draws)) == 3
    assert select_nodes((1, 1, 7), 0, ["n0", "n1"], with_others[0]) == ["n1"]
    assert select_nodes((), 0, ["n0", "n1"], with_others[0]) == ["n0", "n1"]
