"""The links between machines."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.link_table import LinkTable


def test_a_link_when_several_states_apply_has_the_worst_in_both_directions():
    links = LinkTable(m.Links(), Seeds(1))
    for party, zone in {"n0": "a", "s0": "a", "s1": "b", "s2": "c"}.items():
        links.place(party, zone)

    def states(*pairs):
        assert all(links.link(*pair).state == links.link(*pair[::-1]).state for pair in pairs)
        return [links.link(*pair).state for pair in pairs]

    pairs = ("n0", "s0"), ("n0", "s1"), ("s1", "s2"), ("c0", "n0")
    links.isolate_zone("a", "reset")
    assert states(*pairs) == ["up", "reset", "up", "reset"]
    links.set_party("s1", "silent")
    assert states(*pairs) == ["up", "silent", "silent", "reset"]
    links.isolate_zone("a", "silent", inside=True, spared=("n0",))
    links.clear_party("s1")
    assert states(*pairs) == ["silent", "up", "up", "up"]
    links.clear_zone("a")
    links.set_zones("b", "a", "reset")
    links.set_zones("c", "c", "silent")
    assert states(*pairs, ("s0", "s1")) == ["up", "reset", "up", "up", "reset"]
    links.clear_zones("a", "b")
    links.add_delay("b", "a", 50.0)
    assert links.link("n0", "s1").delay(0, 9) > 55 > links.link("n0", "s0").delay(0, 9)
    links.clear_delay("a", "b")
    links.place("s1", "a")
    assert links.link("n0", "s1").delay(0, 9) < 1
    with pytest.raises(KeyError):
        links.set_party("s1", "slow")


@FIXED
@given(st.integers(0, 200), st.integers(0, 99))
def test_segments_when_drawn_add_up_and_change_no_other_links_delays(size, seed):
    spec = m.Links(cut=0.7, same_ms=(1.0, 2.0), jitter=0.5)
    tables = [LinkTable(spec, Seeds(seed)) for _ in range(2)]
    for table in tables:
        table.place("n0", "a")
        table.place("s0", "a")
    for _ in range(5):
        sizes = tables[0].link("n0", "s1").segment_sizes(size)
        assert sum(sizes) == size and (min(sizes) > 0 or size == 0) and len(sizes) <= 4
    delays = [[table.link("n0", "s0").delay(0, 9) for _ in range(50)] for table in tables]
    assert delays[0] == delays[1] and 0.5 <= min(delays[0]) < max(delays[0]) <= 3
