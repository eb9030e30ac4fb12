"""The filter that makes a state exchange leave out members that are known already."""

from random import Random

from support.membership import MAX_AGE_MS, SUSPICION_MS

from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import GossipEntry, MemberState


def test_reachable_not_in_when_given_a_filter_then_leaves_out_its_members():
    names = tuple(f"n{i}" for i in range(1, 41))
    local_table, peer_table = (MemberTable("n0", 1, names, 0.0, Random(seed)) for seed in (1, 2))
    for i, name in enumerate(names):
        for table in (local_table, peer_table)[i % 2 :]:
            table.merge_entry(
                GossipEntry(name, i + 9, 0, MemberState.ALIVE, 0), 0.0, SUSPICION_MS, 0.0, MAX_AGE_MS
            )
    local_table.update_reachability(0.0, MAX_AGE_MS), peer_table.update_reachability(0.0, MAX_AGE_MS)
    missing = {
        member
        for member in peer_table.reachable_members
        if member.name not in {member.name for member in local_table.reachable_members}
    }
    answers = [set(peer_table.reachable_not_in(local_table.reachable_filter())) for _ in range(8)]
    assert all(answer <= missing for answer in answers)
    assert set.union(*answers) == missing
    assert min(map(len, answers)) >= 15
    assert len(missing) == 20
    assert len(peer_table.reachable_not_in(b"")) == 40
    assert len(peer_table.reachable_not_in(b"12345")) <= 40
