"""Selection of the gossip entries that a message carries."""

from random import Random

from support.membership import MAX_AGE_MS, SUSPICION_MS

from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import GossipEntry, MemberState, encoded_size


def test_select_entries_when_the_entries_do_not_fit_then_keeps_them_queued():
    table = MemberTable("n0", 1, tuple(f"n{i}" for i in range(1, 40)), 0.0, Random(1))
    for name in table.peer_names:
        table.merge_entry(GossipEntry(name, 9, 0, MemberState.ALIVE, 0), 0.0, SUSPICION_MS, 0.0, MAX_AGE_MS)
        table.suspect(table.find(name, 9), 0.0)
    table.update_reachability(0.0, MAX_AGE_MS)
    for _ in range(100):
        assert not table.select_entries(None, 6.0, True, 0.0)
    assert {member.remaining_transmissions for member in table} == {table.max_transmissions}
    selected = table.select_entries(None, 80.0, True, 0.0)
    assert selected
    assert sum(map(encoded_size, selected)) <= 80
    assert (
        1 < sum(table.max_transmissions - member.remaining_transmissions for member in table) <= len(selected)
    )
