"""The failure detector in virtual time: proof of liveness, process ends and restarts, and cut links."""

import pytest
from support.membership import (
    KEY,
    all_reachable,
    converged_fleet,
    member_states,
    newest_alive_at,
)

from flintridge.lab.partial.virtual_fleet import MembershipFleet
from flintridge.lab.partial.virtual_network import Link
from flintridge.membership.messages import MemberState


@pytest.mark.parametrize("seed", [1, 2])
def test_evidence_when_links_lose_and_delay_datagrams_then_proves_no_process_alive_after_its_end(seed):
    fleet = MembershipFleet(
        6, seed, link=Link(loss=0.3, delay_ms=5, jitter_ms=2_500, duplication=0.3), drift=0.01, key=KEY
    )
    fleet.run(15_000)
    ended_at = fleet.now
    fleet.kill("n0")
    fleet.pause("n1")
    for _ in range(40):
        fleet.run(250)
        for name in ("n2", "n3", "n4", "n5"):
            assert newest_alive_at(fleet, name, "n0") <= ended_at + 1
            assert newest_alive_at(fleet, name, "n1") <= ended_at + 1
    fleet.resume("n1")
    fleet.run(250)
    assert newest_alive_at(fleet, "n1", "n0") <= ended_at + 1


def test_receive_when_all_datagrams_are_replayed_makes_no_failed_member_reachable():
    fleet = converged_fleet(3, key=KEY)
    sent: list[tuple[str, str, bytes]] = []
    fleet.on_send = lambda process, target, data: sent.append((process.name, target, data))
    fleet.run(5_000)
    fleet.on_send = None
    fleet.kill("n0")
    ended_at = fleet.now
    fleet.run(fleet.detector("n1").max_age_ms + 3_000)
    assert set(member_states(fleet, "n1", "n0")) == {"silent"}
    for source, target, data in sent:
        fleet.forward(source, target, data)
    fleet.run(500)
    assert set(member_states(fleet, "n1", "n0")) == {"silent"}
    assert newest_alive_at(fleet, "n1", "n0") <= ended_at + 1
    assert fleet.detector("n1").counters["dropped_replayed"] > 0


def test_receive_when_datagrams_were_buffered_during_a_pause_then_proves_only_their_own_age():
    fleet = converged_fleet(4)
    fleet.pause("n0")
    fleet.run(3_000)
    fleet.kill("n1")
    fleet.cut(("n2", "n3"), ("n0",))
    fleet.run(2_000)
    resumed_at = fleet.now
    fleet.resume("n0")
    # Thirty datagrams of live peers were buffered: none proves a peer alive after the end of the pause.
    assert fleet.detector("n0").reachability.reachable == 1
    assert fleet.detector("n0").counters["gaps"] == 1
    assert all(newest_alive_at(fleet, "n0", name) < resumed_at for name in ("n1", "n2", "n3"))
    fleet.heal()
    assert fleet.run(5_000, lambda: fleet.detector("n0").reachability.reachable == 3) is not None
    assert member_states(fleet, "n0", "n1") != ["heard"]


def test_probes_when_the_process_itself_was_paused_then_accuse_no_member():
    fleet = converged_fleet(5)
    fleet.pause("n0")
    fleet.run(5_000)
    fleet.resume("n0")
    for _ in range(30):
        fleet.run(100)
        for name in ("n1", "n2", "n3", "n4"):
            assert all(
                member.state is MemberState.ALIVE for member in fleet.detector("n0").table.members_named(name)
            ), "a paused process must not suspect members that could not answer its probes"
    assert all_reachable(fleet, ("n0",))


def test_gossip_when_the_senders_clock_is_slow_then_proves_no_process_alive_after_its_end():
    fleet = MembershipFleet(3, 3, link=Link(jitter_ms=0))
    fleet.living("n1")[0].clock_rate = 0.98
    fleet.run(3_000)
    fleet.cut(("n0",), ("n2",))  # n2 knows about n0 through n1 only
    fleet.run(2_000)
    fleet.kill("n0")
    ended_at = fleet.now
    for _ in range(30):
        fleet.run(100)
        assert newest_alive_at(fleet, "n2", "n0") <= ended_at + 1


def test_reachability_when_a_node_ends_and_restarts_then_follows_and_raises_the_epoch():
    fleet = converged_fleet(7, key=KEY)
    rest = fleet.names[1:]
    fleet.kill("n0")
    assert (
        fleet.run(8_000, lambda: all(fleet.detector(n).reachability.reachable == 6 for n in rest)) is not None
    )
    epochs = {name: fleet.detector(name).reachability.epoch for name in rest}
    fleet.start("n0")
    assert fleet.run(8_000, lambda: all_reachable(fleet)) is not None
    assert all(fleet.detector(name).reachability.epoch > epochs[name] for name in rest)


def test_reachability_when_a_node_restarts_within_200_ms_then_covers_only_the_new_incarnation():
    fleet = converged_fleet(5)
    fleet.kill("n0")
    fleet.run(150)
    incarnation = fleet.start("n0").detector.table.incarnation
    rest = fleet.names[1:]

    def new_process_is_reachable() -> bool:
        return all(
            (member := fleet.detector(n).table.find("n0", incarnation)) and member.reachable for n in rest
        )

    assert fleet.run(5_000, new_process_is_reachable) is not None
    fleet.run(fleet.detector("n1").max_age_ms + 3_000)
    states = {
        member.incarnation: member.reachable for member in fleet.detector("n1").table.members_named("n0")
    }
    assert states.pop(incarnation)
    assert not any(states.values())


def test_reachability_when_a_link_is_cut_one_way_then_keeps_both_nodes_through_others():
    fleet = converged_fleet(5)
    fleet.link("n0", "n1").is_cut = True  # n1 receives nothing from n0 itself
    fleet.run(15_000)
    assert all_reachable(fleet)
    assert member_states(fleet, "n1", "n0") in (["through"], ["suspect"])


def test_reachability_when_three_partitions_heal_in_another_order_then_is_complete_again():
    fleet = converged_fleet(6)
    partitions = (("n0", "n1"), ("n2", "n3"), ("n4", "n5"))
    for i, partition in enumerate(partitions):
        for other in partitions[i + 1 :]:
            fleet.cut(partition, other)
    assert (
        fleet.run(15_000, lambda: all(fleet.detector(n).reachability.reachable == 2 for n in fleet.names))
        is not None
    )
    for partition, other in (
        (partitions[2], partitions[0]),
        (partitions[0], partitions[1]),
        (partitions[1], partitions[2]),
    ):
        for a in partition:
            for b in other:
                fleet.links.pop((a, b), None), fleet.links.pop((b, a), None)
        fleet.run(2_000)
    assert fleet.run(20_000, lambda: all_reachable(fleet)) is not None


def test_reachability_when_every_link_is_cut_then_is_only_the_node_itself_and_bytes_are_bounded():
    fleet = converged_fleet(5)
    fleet.cut(("n0",), fleet.names[1:])
    fleet.run(60_000)
    process = fleet.living("n0")[0]
    assert process.detector.reachability.reachable == 1
    assert process.detector.reachability.reachable_since(0.3) is None
    assert process.detector.reachability.reachable_since(0.2) is not None
    assert max(process.datagram_bytes.values()) <= 8_000


def test_leave_when_a_process_ends_in_order_shows_it_as_left_everywhere():
    fleet = converged_fleet(6)
    fleet.leave("n0")
    rest = fleet.names[1:]
    assert fleet.run(3_000, lambda: all(member_states(fleet, n, "n0") == ["left"] for n in rest)) is not None


def test_suspicion_when_refuted_raises_refutations_and_ends_everywhere():
    fleet = converged_fleet(5)
    accused = fleet.detector("n0").table
    for name in ("n1", "n2", "n3", "n4"):
        table = fleet.detector(name).table
        table.suspect(table.members_named("n0")[0], fleet.living(name)[0].clock(fleet.now))
    fleet.run(3_000)
    assert accused.refutations > 0
    for name in ("n1", "n2", "n3", "n4"):
        assert fleet.detector(name).table.members_named("n0")[0].state is MemberState.ALIVE


def test_reachability_when_clocks_drift_by_one_percent_then_stays_complete():
    fleet = MembershipFleet(6, 5, drift=0.01, link=Link(loss=0.1))
    assert fleet.run(10_000, lambda: all_reachable(fleet)) is not None
    fleet.run(60_000)
    assert all_reachable(fleet)
