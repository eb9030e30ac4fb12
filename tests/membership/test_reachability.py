"""What fraction of the fleet is reachable, and since when."""

from random import Random

from support.membership import MAX_AGE_MS

from flintridge.lab.partial.virtual_fleet import MembershipFleet
from flintridge.lab.partial.virtual_network import Link
from flintridge.membership.member_table import MemberTable


def test_reachable_since_when_members_come_and_go_then_follows_each_fraction():
    table = MemberTable("n0", 1, ("n1", "n2", "n3"), 0.0, Random(1))
    members = {name: table.find_or_add(name, 9, 0.0) for name in table.peer_names}

    def reachability_after(now, *names):
        for name in names:
            table.record_message(members[name], 0, now, now)
        table.update_reachability(now, MAX_AGE_MS)
        return table.reachability

    assert [reachability_after(0.0).reachable_since(fraction) for fraction in (0.0, 0.25, 0.26, 1.0)] == [
        0.0,
        0.0,
        None,
        None,
    ]
    assert reachability_after(100.0, "n1").epoch == 1
    assert table.reachability.fraction == 0.5
    assert reachability_after(200.0, "n2", "n3").reachable_since(1.0) == 200.0
    assert table.reachability.reachable_since(0.5) == 100.0
    # Only n1 stays alive: three quarters are lost, half is reachable without a break.
    reachability_after(MAX_AGE_MS, "n1")
    view = reachability_after(MAX_AGE_MS + 300.0, "n1")
    assert (view.reachable, view.reachable_since(0.5), view.reachable_since(0.75)) == (2, 100.0, None)
    assert reachability_after(MAX_AGE_MS + 400.0, "n2").reachable_since(0.75) == MAX_AGE_MS + 400.0
    assert view.epoch == 4
    table.reset_after_gap(MAX_AGE_MS + 500.0)
    assert reachability_after(MAX_AGE_MS + 500.0).reachable_since(0.5) is None
    assert reachability_after(MAX_AGE_MS + 600.0, "n1").reachable_since(0.5) == MAX_AGE_MS + 600.0
    assert view.epoch == 5


def test_update_when_it_examines_only_changed_members_then_agrees_with_a_full_update():
    fleet = MembershipFleet(8, 4, link=Link(loss=0.3))
    for turn in range(120):
        fleet.run(250)
        if turn % 10 == 3:
            fleet.kill(f"n{turn % 7}"), fleet.start(f"n{turn % 7}")
        if turn % 30 == 5:
            fleet.cut(("n7",), fleet.names[:7])  # for longer than ISOLATION_MS, and less than the maximum age
        if turn % 30 == 20:
            fleet.heal()
        fleet.pause("n6") if turn % 40 == 8 else fleet.resume("n6") if turn % 40 == 18 else None
        for name in fleet.names:
            detector, now = fleet.detector(name), fleet.living(name)[-1].clock(fleet.now)
            table = detector.table
            table.update_reachability(now, detector.max_age_ms)
            assert all(
                member.reachable is table.is_reachable(member, now, detector.max_age_ms) for member in table
            )
            assert table.reachability.reachable == 1 + len(
                {member.name for member in table.reachable_members if member.name != name}
            )
