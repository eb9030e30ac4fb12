"""The timeline of a scenario's faults on a fleet in virtual time."""

import asyncio

import pytest
from support.lab_fleet import SCENARIO, run_with_fleet

from flintridge.lab.faults.node_reconciler import termination_grace_ms
from flintridge.lab.records import FaultChanged, ServerStateChanged
from flintridge.lab.scenario import model as m


def test_overlapping_crashes_start_a_server_once_cold_when_the_last_ends():
    async def test(harness):
        await harness.timeline.run()
        name = next(iter(harness.world.servers))
        changes = [
            (r.at_ms, r.state, r.warm_up_ms) for r in harness.records_of(ServerStateChanged, server=name)
        ][1:]
        assert changes == [(1000.0, "stopped", 0.0), (5000.0, "started", 9000.0)]
        fault_changes = [(r.at_ms, r.begins) for r in harness.records_of(FaultChanged)]
        assert fault_changes == [(1000.0, True), (2000.0, True), (3000.0, False), (5000.0, False)]
        await asyncio.sleep(1)
        entries = {c.endpoint.id: c.endpoint for c in harness.world.discovery.model.endpoints.snapshot()}
        assert entries[name].started_at == 5000.0

    run_with_fleet(test, m.Crash(at_s=1.0, for_s=2.0, ids=("s0",)), m.Crash(at_s=2.0, for_s=3.0, ids=("s0",)))


@pytest.mark.parametrize("nodes", [False, True])
def test_servers_of_a_zone_that_was_unreachable_restart_cold(nodes):
    async def test(harness):
        harness.start_timeline()
        link, west = (
            harness.fabric.links.link,
            [h for h in harness.world.servers.values() if h.zone == "west"],
        )
        await harness.clock.sleep_until(2000)
        assert [link("n0", h.party).state for h in west] == ["silent"] * 4
        assert link("n1", west[0].party).state == "silent"  # n1 is in that zone
        assert (
            (link("n1", "origin").state == "silent") == nodes == (link("discovery", "n1").state == "silent")
        )
        assert link("c0", "n1").state == "up" and link("n0", "origin").state == "up"
        await harness.clock.sleep_until(4500)  # listed as gone after three seconds
        assert len(harness.world.discovery.model.endpoints.snapshot()) == 3
        await harness.clock.sleep_until(7000)
        assert [link("n0", h.party).state for h in west] == ["up"] * 4
        restarted = {c.endpoint.id: c.endpoint for c in harness.world.discovery.model.endpoints.snapshot()}
        assert [restarted[h.id].started_at for h in west] == [6000.0] * 4
        states = [r.state for r in harness.records_of(ServerStateChanged, server=west[0].id)]
        assert states == ["started", "silent", "stopped", "started", "back"]
        # The server was never listed with its old start time after the zone was back.
        phases = [
            c.endpoint
            for c in harness.world.discovery.model.endpoints._changes
            if c.endpoint.id == west[0].id
        ]
        assert [(e.phase, e.started_at) for e in phases[1:]] == [("terminated", 0.0), ("in_service", 6000.0)]

    run_with_fleet(test, m.ZoneLoss(at_s=1.0, for_s=5.0, zone="west", nodes=nodes))


def test_replaced_and_churned_servers_have_new_ids_at_the_old_addresses():
    async def test(harness):
        before = {h.party: h.id for h in harness.world.servers.values()}
        await harness.timeline.run()
        after = {h.party: h.id for h in harness.world.servers.values()}
        assert sorted(before) == sorted(after)
        replaced = [party for party in before if before[party] != after[party]]
        assert next(iter(before)) in replaced and len(replaced) == 4
        assert all(h.up and not h.model.draining for h in harness.world.servers.values())
        gone = [r.server for r in harness.records_of(ServerStateChanged, state="gone")]
        listed = [c.endpoint.id for c in harness.world.discovery.model.endpoints.snapshot()]
        await asyncio.sleep(1)
        assert len(gone) == 4 and len(listed) == 7
        assert not set(gone) & {c.endpoint.id for c in harness.world.discovery.model.endpoints.snapshot()}

    run_with_fleet(
        test, m.Replace(at_s=1.0, for_s=1.0, ids=("s0",)), m.Churn(at_s=3.0, for_s=6.0, every_s=2.0)
    )


def test_drained_servers_stop_permanently_or_restart():
    async def test(harness):
        harness.start_timeline()
        first, second = list(harness.world.servers.values())[:2]
        await harness.clock.sleep_until(2000)
        assert first.model.draining and second.model.draining
        await harness.clock.sleep_until(20_000)
        assert not first.up and second.up and second.started_at == 5000.0 and not second.model.draining

    run_with_fleet(
        test, m.Drain(at_s=1.0, for_s=3.0, ids=("s0",)), m.Drain(at_s=1.0, for_s=3.0, ids=("s1",), back=True)
    )


def test_overlapping_node_faults_kill_restart_and_pause_a_node_once():
    async def test(harness):
        await harness.timeline.run()
        calls = [s for s in harness.runner.calls if s[0] > 0]
        assert [s[:2] for s in calls if s[2] == "n0"] == [
            (1000, "killed"),
            (4000, "started"),  # the second kill lasts longer, and the node is down already when it starts
            (6000, "term"),
            (6800, "started"),
        ]
        assert [s[:2] for s in calls if s[2] == "n1"] == [(1000, "paused"), (3000, "resumed")]

    faults = [m.NodeKill(at_s=1.0, for_s=1.0, nodes=(0,)), m.NodeKill(at_s=1.5, for_s=2.5, nodes=(0,))]
    faults += [m.NodeRestart(at_s=6.0, for_s=0.8, nodes=(0,)), m.NodePause(at_s=1.0, for_s=1.0, nodes=(1,))]
    run_with_fleet(test, *faults, m.NodePause(at_s=1.5, for_s=1.5, nodes=(1,)))


def test_a_node_that_does_not_end_after_sigterm_is_killed():
    async def test(harness):
        harness.runner.slow_to_end = True
        await harness.timeline.run()
        at = 1000 + round(termination_grace_ms(SCENARIO))
        calls = [s[:2] for s in harness.runner.calls if s[2] == "n0"]
        assert calls[1:] == [(1000, "term"), (at, "killed"), (at, "started")]

    run_with_fleet(test, m.NodeRestart(at_s=1.0, for_s=0.5, nodes=(0,)))


def test_stop_undoes_all_active_faults_and_starts_no_process():
    async def test(harness):
        run = asyncio.ensure_future(harness.timeline.run())
        await harness.clock.sleep_until(2000)
        host, link = next(iter(harness.world.servers.values())), harness.fabric.links.link
        discovery, origin = harness.world.discovery.model, harness.world.origin.model
        assert (
            host.model.faults.slowdown == 6.0
            and host.model.faults.lost_fraction == 0.02
            and link("n0", "n1").added_ms == 50.0
        )
        settings = origin.slow, origin.down, discovery.calls.slow, discovery.endpoints.stale_since
        assert settings == (5.0, "errors", 20.0, 500.0)
        await harness.timeline.stop()
        assert run.cancelled()
        assert (
            host.model.faults.slowdown == 1.0
            and host.model.faults.lost_fraction == 0.0
            and link("n0", "n1").added_ms == 0.0
        )
        assert (origin.slow, origin.down) == (1.0, "")
        assert (discovery.calls.slow, discovery.endpoints.stale_since) == (1.0, None)
        assert {link("n0", h.party).state for h in harness.world.servers.values()} == {"up"}
        began, ended = (
            sorted(r.name for r in harness.records_of(FaultChanged, begins=b)) for b in (True, False)
        )
        assert began == ended and "burst" in began
        assert not list(harness.world.servers.values())[1].up and not harness.runner.running("n0")
        assert harness.runner.calls[-1] == (2000, "resumed", "n1")
        bad = (5.0, (), True), (5.0, (), False)
        rest = [("hot_key", 0.5), ("bad_clients", *bad[0]), ("cool",), ("bad_clients", *bad[1])]
        assert harness.controls.calls == [("burst", 2.0), *rest, ("burst", 1.0)]

    when = {"at_s": 0.5, "for_s": 20.0}
    faults = [m.Slowness(ids=("s0",), factor=2.0, **when), m.Slowness(zone="east", factor=3.0, **when)]
    faults += [m.LostAnswers(share=1.0, **when), m.Crash(ids=("s1",), **when), m.Silence(ids=("s2",), **when)]
    faults += [kind(zone="east", other="west", **when) for kind in (m.Cut, m.SlowLink)]
    faults += [kind(**when) for kind in (m.OriginSlow, m.DiscoverySlow, m.DiscoveryStale)]
    faults += [kind(**when) for kind in (m.Burst, m.HotKey, m.BadClients)]
    faults += [
        m.OriginDown(how="errors", **when),
        m.NodeKill(nodes=(0,), **when),
        m.NodePause(nodes=(1,), **when),
    ]
    run_with_fleet(test, *faults)


def test_the_same_seed_gives_the_same_records():
    faults = (m.Churn(at_s=1.0, for_s=5.0), m.Crash(at_s=2.0, share=0.3), m.ZoneLoss(at_s=6.0, zone="east"))

    async def test(harness):
        await harness.timeline.run()
        return harness.log.digest()

    assert run_with_fleet(test, *faults) == run_with_fleet(test, *faults)
