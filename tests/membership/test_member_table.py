"""What the member table merges from gossip entries."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from support.membership import (
    MAX_AGE_MS,
    SUSPICION_MS,
)
from support.network import FIXED

from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import GossipEntry, MemberState

ENTRIES = st.builds(
    GossipEntry,
    st.sampled_from(["n0", "n1", "n2", "x"]),
    st.integers(7, 10),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 10_000),
)


@FIXED
@given(st.lists(st.tuples(ENTRIES, st.integers(0, 3000)), max_size=30), st.randoms(use_true_random=False))
def test_merge_entry_when_in_any_order_then_proves_no_later_instant_than_the_entries_do(entries, rng):
    """Members that left in one order of the entries left in the other one too, or are named by an entry."""
    now = 20_000.0
    ends = []
    for order in (entries, rng.sample(entries, len(entries))):
        table = MemberTable("n0", 7, ("n1", "n2"), 0.0, Random(1))
        for entry, late in order:
            table.merge_entry(entry, now - late, SUSPICION_MS, now, MAX_AGE_MS)
        for member in table:
            entry_instants = [
                now - late - e.age_ms
                for e, late in entries
                if (e.name, e.incarnation) == (member.name, member.incarnation)
            ]
            assert member.last_alive_at <= max(entry_instants)
        ends.append(
            {(member.name, member.incarnation) for member in table if member.state is MemberState.LEFT}
        )
    assert ends[0] <= ends[1] | {(e.name, e.incarnation) for e, _ in entries}
