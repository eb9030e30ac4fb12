"""Selection of the servers and nodes that a fault affects."""

import random

import pytest

from flintridge.lab.faults.target_selection import Candidate, fault_generators, select_nodes, select_servers
from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds

ZONES, KINDS = ["east"] * 4 + ["west"] * 4, ["small", "big"] * 4
THERE = [Candidate(f"x{i}", f"s{i}", ZONES[i], KINDS[i]) for i in range(8)]
NAMED = [({"share": 0.01}, 1), ({"share": 0.01, "zone": "west"}, 1), ({"share": 1.0}, 8), ({"count": 3}, 3)]
NAMED += [({"count": 99, "kind": "big"}, 4), ({"zone": "west", "kind": "big"}, 2)]
NAMED += [({"ids": ("s1", "x5", "s9")}, 2)]


@pytest.mark.parametrize(("named", "count"), NAMED)
def test_servers_are_chosen_among_those_that_fit(named, count):
    fault = m.Crash(**named)
    chosen = select_servers(fault, THERE, random.Random(1))
    assert len(chosen) == count and chosen == select_servers(fault, THERE, random.Random(1))
    fits = [c.id for c in THERE if named.get("zone", c.zone) == c.zone]
    assert set(chosen) <= {c.id for c in THERE if c.id in fits and named.get("kind", c.kind) == c.kind}


def test_a_faults_draws_move_with_no_other_fault():
    one, two = m.Crash(at_s=1.0, count=2), m.Drain(at_s=1.0, count=2)
    alone, among = fault_generators([one], Seeds(1)), fault_generators([two, one, one], Seeds(1))
    draws = [rng.random() for rng in (alone[0], *among)]
    assert draws[0] == draws[2] and len(set(draws)) == 3
    assert select_nodes((1, 1, 7), 0, ["n0", "n1"], among[0]) == ["n1"]
    assert select_nodes((), 0, ["n0", "n1"], among[0]) == ["n0", "n1"]
