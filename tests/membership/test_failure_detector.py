"""The failure detector in virtual time: what proves that a member is alive, ends, returns and cuts."""

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
def test_evidence_when_links_lose_and_delay_proves_nobody_alive_after_its_end(seed):
    machines = MembershipFleet(
        6, seed, link=Link(loss=0.3, delay_ms=5, jitter_ms=2_500, duplication=0.3), drift=0.01, key=KEY
    )
    machines.run(15_000)
    ended_at = machines.now
    machines.kill("n0")
    machines.pause("n1")
    for _ in range(40):
        machines.run(250)
        for name in ("n2", "n3", "n4", "n5"):
            assert newest_alive_at(machines, name, "n0") <= ended_at + 1
            assert newest_alive_at(machines, name, "n1") <= ended_at + 1
    machines.resume("n1")
    machines.run(250)
    assert newest_alive_at(machines, "n1", "n0") <= ended_at + 1


def test_receive_when_all_datagrams_are_replayed_makes_no_failed_member_reachable():
    machines = converged_fleet(3, key=KEY)
    sent: list[tuple[str, str, bytes]] = []
    machines.on_send = lambda process, target, data: sent.append((process.name, target, data))
    machines.run(5_000)
    machines.on_send = None
    machines.kill("n0")
    ended_at = machines.now
    machines.run(machines.detector("n1").max_age_ms + 3_000)
    assert set(member_states(machines, "n1", "n0")) == {"silent"}
    for source, target, data in sent:
        machines.forward(source, target, data)
    machines.run(500)
    assert set(member_states(machines, "n1", "n0")) == {"silent"}
    assert newest_alive_at(machines, "n1", "n0") <= ended_at + 1
    assert machines.detector("n1").counters["dropped_replayed"] > 0


def test_receive_when_datagrams_waited_during_a_pause_proves_only_their_own_age():
    machines = converged_fleet(4)
    machines.pause("n0")
    machines.run(3_000)
    machines.kill("n1")
    machines.cut(("n2", "n3"), ("n0",))
    machines.run(2_000)
    resumed_at = machines.now
    machines.resume("n0")
    # Thirty datagrams of living peers waited: none is a sign of life after the pause's end.
    assert machines.detector("n0").reachability.reachable == 1
    assert machines.detector("n0").counters["gaps"] == 1
    assert all(newest_alive_at(machines, "n0", name) < resumed_at for name in ("n1", "n2", "n3"))
    machines.heal()
    assert machines.run(5_000, lambda: machines.detector("n0").reachability.reachable == 3) is not None
    assert member_states(machines, "n0", "n1") != ["heard"]


def test_probes_when_the_process_itself_was_paused_accuse_nobody():
    machines = converged_fleet(5)
    machines.pause("n0")
    machines.run(5_000)
    machines.resume("n0")
    for _ in range(30):
        machines.run(100)
        for name in ("n1", "n2", "n3", "n4"):
            assert all(
                member.state is MemberState.ALIVE
                for member in machines.detector("n0").table.members_named(name)
            ), "its probes could not be answered while it stood still"
    assert all_reachable(machines, ("n0",))


def test_gossip_when_the_senders_clock_is_slow_proves_nobody_alive_after_its_end():
    machines = MembershipFleet(3, 3, link=Link(jitter_ms=0))
    machines.living("n1")[0].clock_rate = 0.98
    machines.run(3_000)
    machines.cut(("n0",), ("n2",))  # which knows of it through n1 alone
    machines.run(2_000)
    machines.kill("n0")
    ended_at = machines.now
    for _ in range(30):
        machines.run(100)
        assert newest_alive_at(machines, "n2", "n0") <= ended_at + 1


def test_reachability_when_a_node_ends_and_returns_follows_and_raises_the_epoch():
    machines = converged_fleet(7, key=KEY)
    rest = machines.names[1:]
    machines.kill("n0")
    assert (
        machines.run(8_000, lambda: all(machines.detector(n).reachability.reachable == 6 for n in rest))
        is not None
    )
    epochs = {name: machines.detector(name).reachability.epoch for name in rest}
    machines.start("n0")
    assert machines.run(8_000, lambda: all_reachable(machines)) is not None
    assert all(machines.detector(name).reachability.epoch > epochs[name] for name in rest)


def test_reachability_when_a_node_returns_within_200_ms_knows_another_incarnation():
    machines = converged_fleet(5)
    machines.kill("n0")
    machines.run(150)
    incarnation = machines.start("n0").detector.table.incarnation
    rest = machines.names[1:]

    def new_process_is_reachable() -> bool:
        return all(
            (member := machines.detector(n).table.find("n0", incarnation)) and member.reachable for n in rest
        )

    assert machines.run(5_000, new_process_is_reachable) is not None
    machines.run(machines.detector("n1").max_age_ms + 3_000)
    states = {
        member.incarnation: member.reachable for member in machines.detector("n1").table.members_named("n0")
    }
    assert states.pop(incarnation)
    assert not any(states.values())


def test_reachability_when_a_link_is_cut_one_way_keeps_both_through_others():
    machines = converged_fleet(5)
    machines.link("n0", "n1").is_cut = True  # n1 receives nothing from n0 itself
    machines.run(15_000)
    assert all_reachable(machines)
    assert member_states(machines, "n1", "n0") in (["through"], ["suspect"])


def test_reachability_when_three_partitions_heal_in_another_order_is_whole_again():
    machines = converged_fleet(6)
    partitions = (("n0", "n1"), ("n2", "n3"), ("n4", "n5"))
    for i, partition in enumerate(partitions):
        for other in partitions[i + 1 :]:
            machines.cut(partition, other)
    assert (
        machines.run(
            15_000, lambda: all(machines.detector(n).reachability.reachable == 2 for n in machines.names)
        )
        is not None
    )
    for partition, other in (
        (partitions[2], partitions[0]),
        (partitions[0], partitions[1]),
        (partitions[1], partitions[2]),
    ):
        for a in partition:
            for b in other:
                machines.links.pop((a, b), None), machines.links.pop((b, a), None)
        machines.run(2_000)
    assert machines.run(20_000, lambda: all_reachable(machines)) is not None


def test_reachability_when_every_link_is_cut_is_the_node_alone_and_its_bytes_are_bounded():
    machines = converged_fleet(5)
    machines.cut(("n0",), machines.names[1:])
    machines.run(60_000)
    process = machines.living("n0")[0]
    assert process.detector.reachability.reachable == 1
    assert process.detector.reachability.reachable_since(0.3) is None
    assert process.detector.reachability.reachable_since(0.2) is not None
    assert max(process.datagram_bytes.values()) <= 8_000


def test_leave_when_a_process_ends_in_order_shows_it_as_left_everywhere():
    machines = converged_fleet(6)
    machines.leave("n0")
    rest = machines.names[1:]
    assert (
        machines.run(3_000, lambda: all(member_states(machines, n, "n0") == ["left"] for n in rest))
        is not None
    )


def test_suspicion_when_refuted_raises_refutations_and_ends_everywhere():
    machines = converged_fleet(5)
    accused = machines.detector("n0").table
    for name in ("n1", "n2", "n3", "n4"):
        table = machines.detector(name).table
        table.suspect(table.members_named("n0")[0], machines.living(name)[0].clock(machines.now))
    machines.run(3_000)
    assert accused.refutations > 0
    for name in ("n1", "n2", "n3", "n4"):
        assert machines.detector(name).table.members_named("n0")[0].state is MemberState.ALIVE


def test_reachability_when_clocks_drift_by_one_percent_stays_whole():
    machines = MembershipFleet(6, 5, drift=0.01, link=Link(loss=0.1))
    assert machines.run(10_000, lambda: all_reachable(machines)) is not None
    machines.run(60_000)
    assert all_reachable(machines)
