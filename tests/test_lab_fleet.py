"""The faults: their overlaps and contradictions, then a fleet in virtual time."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace
from support.lab_fleet import SCENE, played
from support.network import FIXED

from flintridge.lab.faults.active import Active, Knobs, On, burst_factor
from flintridge.lab.faults.check import check
from flintridge.lab.faults.choose import Candidate, choose_nodes, choose_servers, generators
from flintridge.lab.faults.nodes import patience_ms
from flintridge.lab.records import (
    FaultChanged,
    ServerStateChanged,
)
from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds

# Choice


ZONES, KINDS = ["east"] * 4 + ["west"] * 4, ["small", "big"] * 4
THERE = [Candidate(f"x{i}", f"s{i}", ZONES[i], KINDS[i]) for i in range(8)]
NAMED = [({"share": 0.01}, 1), ({"share": 0.01, "zone": "west"}, 1), ({"share": 1.0}, 8), ({"count": 3}, 3)]
NAMED += [({"count": 99, "kind": "big"}, 4), ({"zone": "west", "kind": "big"}, 2)]
NAMED += [({"ids": ("s1", "x5", "s9")}, 2)]


@pytest.mark.parametrize("named, count", NAMED)
def test_servers_are_chosen_among_those_that_fit(named, count):
    fault = m.Crash(**named)
    chosen = choose_servers(fault, THERE, random.Random(1))
    assert len(chosen) == count and chosen == choose_servers(fault, THERE, random.Random(1))
    fits = [c.id for c in THERE if named.get("zone", c.zone) == c.zone]
    assert set(chosen) <= {c.id for c in THERE if c.id in fits and named.get("kind", c.kind) == c.kind}


def test_a_faults_draws_move_with_no_other_fault():
    one, two = m.Crash(at_s=1.0, count=2), m.Drain(at_s=1.0, count=2)
    alone, among = generators([one], Seeds(1)), generators([two, one, one], Seeds(1))
    draws = [rng.random() for rng in (alone[0], *among)]
    assert draws[0] == draws[2] and len(set(draws)) == 3
    assert choose_nodes((1, 1, 7), 0, ["n0", "n1"], among[0]) == ["n1"]
    assert choose_nodes((), 0, ["n0", "n1"], among[0]) == ["n0", "n1"]


# Overlaps


MANY = [m.Slowness(factor=10.0), m.Slowness(factor=2.0), m.QuickErrors(part=0.5), m.QuickErrors(part=0.5)]
MANY += [m.Stale(after_ms=500.0), m.Stale(after_ms=200.0, silent=True), m.Crowding(part=0.25)]
MANY += [m.Resets(part=1.0), m.LostAnswers(), m.Spoilt(), m.Crash(), m.Silence(), m.NodeKill(), m.NodePause()]
MANY += [m.ZoneLoss(zone="west", how="reset"), m.ZoneLoss(zone="west", nodes=True)]
MANY += [m.ZoneLoss(zone="west", how="die", nodes=True), m.Cut(zone="west", other="east", how="reset")]
MANY += [m.SlowLink(zone="east", other="west", add_ms=7.0), m.OriginDown(how="silent"), m.OriginDown()]
MANY += [m.DiscoveryDown(how="garbage"), m.DiscoveryStale(at_s=3.0), m.HotKey(part=0.2)]
MANY += [m.BadClients(per_s=2.0, kinds=("flood",))]


def state(active: Active) -> list[object]:
    servers = [getattr(active, name)("a") for name in ("knobs", "down", "draining", "vanished", "unheard")]
    links = [active.isolations(), active.pairs(["east", "west"]), active.delays()]
    services = [active.origin_down("west"), active.discovery_down("east"), active.stale_since()]
    rest = [active.node_held("n0"), active.node_paused("n0"), active.hot_part(), active.bad_clients()]
    return [*servers, *links, *services, *rest]


@FIXED
@given(st.permutations(range(len(MANY))), st.permutations(range(len(MANY))))
def test_the_end_of_one_fault_undoes_no_other(begin, end):
    active, fresh = Active(), state(Active())
    for number in begin:
        active.on[number] = On(MANY[number], ("a",), ("n0",))
    everything = active.knobs("a")
    assert everything.slowdown == 20.0 and everything.error_fraction == 0.75
    assert (everything.stale_after_ms, everything.stale_unresponsive) == (200.0, True)
    assert active.knobs("b") == Knobs() and active.origin_down("west") == "refuses"
    assert active.pairs(["east", "west"])["east", "west"] == "silent"
    for i, number in enumerate(end):
        del active.on[number]
        again = Active()
        again.on = {n: on for n, on in active.on.items() if n not in end[: i + 1]}
        assert state(active) == state(again)
    assert state(active) == fresh


def test_bursts_rise_and_fall():
    bursts = [m.Burst(at_s=1.0, for_s=2.0, factor=3.0, ramp_s=0.5), m.Burst(at_s=2.0, for_s=2.0, ramp_s=0.0)]
    seen = {t: burst_factor(bursts, t * 1000) for t in (0.9, 1.0, 1.25, 1.5, 1.9, 2.0, 2.75, 3.0, 3.9, 4.0)}
    assert list(seen.values()) == [1.0, 1.0, 2.0, 3.0, 3.0, 6.0, 4.0, 2.0, 2.0, 1.0]
    assert burst_factor([m.Burst(for_s=1.0, factor=3.0, ramp_s=9.0)], 500.0) == 3.0


# Contradictions


@pytest.mark.parametrize(
    "changes, path",
    [
        ({"faults": (m.Crash(at_s=30.0, count=1),)}, "faults[0].at_s"),
        ({"faults": (m.Crash(count=1), m.Crash(zone="north", count=1))}, "faults[1].zone"),
        ({"faults": (m.Crash(kind="origin", count=1),)}, "faults[0].kind"),
        ({"faults": (m.Crash(zone="east", kind="small", count=1),)}, "faults[0].zone"),
        ({"faults": (m.Crash(count=7),)}, "faults[0].count"),
        ({"faults": (m.Crash(),)}, "faults[0].share"),
        ({"faults": (m.Crash(ids=("s6",)),)}, "faults[0].ids[0]"),
        ({"faults": (m.Crash(ids=("s0",), zone="west"),)}, "faults[0].ids"),
        ({"faults": (m.Crash(ids=("s0",), count=1),)}, "faults[0].count"),
        ({"faults": (m.Resets(count=1, part=0.0),)}, "faults[0].part"),
        ({"faults": (m.Slowness(count=1, for_s=0.0),)}, "faults[0].for_s"),
        ({"faults": (m.ZoneLoss(zone="north"),)}, "faults[0].zone"),
        ({"faults": (m.Cut(zone="east", other="east"),)}, "faults[0].other"),
        ({"faults": (m.SlowLink(zone="east", other="north"),)}, "faults[0].other"),
        ({"faults": (m.NodeKill(nodes=(0, 2)),)}, "faults[0].nodes[1]"),
        ({"faults": (m.NodeRestart(count=0),)}, "faults[0].count"),
        ({"faults": (m.Burst(factor=1.0),)}, "faults[0].factor"),
        ({"zones": ("east", "west", "east")}, "zones"),
        ({"origin": m.Origin(zone="north")}, "origin.zone"),
        ({"origin": m.Origin(repeats_s=1.0)}, "classes[1].window_ms"),
        ({"discovery": m.Discovery(notice_s=(2.0, 1.0))}, "discovery.notice_s"),
        ({"kinds": (*SCENE.kinds, m.Kind(name="origin"))}, "kinds[2].name"),
        ({"kinds": (*SCENE.kinds, m.Kind(name="slow", cold_s=20.0))}, "kinds[2].cold_s"),
        ({"kinds": (*SCENE.kinds, m.Kind(name="weak", cold_from=0.1))}, "kinds[2].cold_from"),
        ({"servers": (m.Group(kind="huge"),)}, "servers[0].kind"),
        ({"servers": (m.Group(kind="big", count=0),)}, "servers"),
        ({"classes": (m.RequestClass(name="r", latency_objective_ms=3000.0),)}, "classes[0].aim_ms"),
        ({"tenants": (m.Tenant(name="a"), m.Tenant(name="a"))}, "tenants"),
    ],
)
def test_contradictions_are_told_by_path_with_what_is_allowed(changes, path):
    [told] = check(replace(SCENE, **changes))
    assert told.startswith(f"{path}: ") and len(told) < 200


def test_what_is_sound_is_let_through():
    fine = [m.Crash(for_s=0.0, share=0.001), m.Drain(for_s=0.0, kind="big"), m.Reload(), m.Churn()]
    fine += [m.NodeKill(for_s=0.0, nodes=(1, 0)), m.SlowLink(zone="east", other="east")]
    fine += [m.ZoneLoss(at_s=29.9, for_s=100.0, zone="east")]
    assert check(replace(SCENE, faults=fine)) == []
    assert check(m.Scenario()) == []


# In virtual time


def test_overlapping_crashes_start_a_server_once_cold_when_the_last_ends():
    async def test(one):
        await one.line.run()
        name = next(iter(one.world.servers))
        lives = [(r.at_ms, r.state, r.warm_up_ms) for r in one.of(ServerStateChanged, server=name)][1:]
        assert lives == [(1000.0, "stopped", 0.0), (5000.0, "started", 9000.0)]
        happened = [(r.at_ms, r.begins) for r in one.of(FaultChanged)]
        assert happened == [(1000.0, True), (2000.0, True), (3000.0, False), (5000.0, False)]
        await asyncio.sleep(1)
        entries = {c.endpoint.id: c.endpoint for c in one.world.discovery.model.endpoints.snapshot()}
        assert entries[name].started_at == 5000.0

    played(test, m.Crash(at_s=1.0, for_s=2.0, ids=("s0",)), m.Crash(at_s=2.0, for_s=3.0, ids=("s0",)))


@pytest.mark.parametrize("nodes", [False, True])
def test_a_zone_that_was_silent_comes_back_cold(nodes):
    async def test(one):
        one.play()
        link, west = one.fabric.links.link, [h for h in one.world.servers.values() if h.zone == "west"]
        await one.clock.sleep_until(2000)
        assert [link("n0", h.party).state for h in west] == ["silent"] * 4
        assert link("n1", west[0].party).state == "silent"  # n1 stands in that zone
        assert (
            (link("n1", "origin").state == "silent") == nodes == (link("discovery", "n1").state == "silent")
        )
        assert link("c0", "n1").state == "up" and link("n0", "origin").state == "up"
        await one.clock.sleep_until(4500)  # listed as gone after three seconds
        assert len(one.world.discovery.model.endpoints.snapshot()) == 3
        await one.clock.sleep_until(7000)
        assert [link("n0", h.party).state for h in west] == ["up"] * 4
        back = {c.endpoint.id: c.endpoint for c in one.world.discovery.model.endpoints.snapshot()}
        assert [back[h.id].started_at for h in west] == [6000.0] * 4
        states = [r.state for r in one.of(ServerStateChanged, server=west[0].id)]
        assert states == ["started", "silent", "stopped", "started", "back"]
        # At no time was it listed as one that runs since long ago.
        phases = [
            c.endpoint for c in one.world.discovery.model.endpoints._changes if c.endpoint.id == west[0].id
        ]
        assert [(e.phase, e.started_at) for e in phases[1:]] == [("terminated", 0.0), ("in_service", 6000.0)]

    played(test, m.ZoneLoss(at_s=1.0, for_s=5.0, zone="west", nodes=nodes))


def test_replaced_and_churned_servers_have_new_ids_at_the_old_addresses():
    async def test(one):
        before = {h.party: h.id for h in one.world.servers.values()}
        await one.line.run()
        after = {h.party: h.id for h in one.world.servers.values()}
        assert sorted(before) == sorted(after)
        renewed = [party for party in before if before[party] != after[party]]
        assert next(iter(before)) in renewed and len(renewed) == 4
        assert all(h.up and not h.model.draining for h in one.world.servers.values())
        gone = [r.server for r in one.of(ServerStateChanged, state="gone")]
        listed = [c.endpoint.id for c in one.world.discovery.model.endpoints.snapshot()]
        await asyncio.sleep(1)
        assert len(gone) == 4 and len(listed) == 7
        assert not set(gone) & {c.endpoint.id for c in one.world.discovery.model.endpoints.snapshot()}

    played(test, m.Replace(at_s=1.0, for_s=1.0, ids=("s0",)), m.Churn(at_s=3.0, for_s=6.0, every_s=2.0))


def test_drains_stop_for_good_or_come_back():
    async def test(one):
        one.play()
        first, second = list(one.world.servers.values())[:2]
        await one.clock.sleep_until(2000)
        assert first.model.draining and second.model.draining
        await one.clock.sleep_until(20_000)
        assert not first.up and second.up and second.started_at == 5000.0 and not second.model.draining

    played(
        test, m.Drain(at_s=1.0, for_s=3.0, ids=("s0",)), m.Drain(at_s=1.0, for_s=3.0, ids=("s1",), back=True)
    )


def test_nodes_are_killed_restarted_and_paused_however_that_overlaps():
    async def test(one):
        await one.line.run()
        said = [s for s in one.runner.said if s[0] > 0]
        assert [s[:2] for s in said if s[2] == "n0"] == [
            (1000, "killed"),
            (4000, "started"),  # the second kill lasts longer, and finds nothing to kill
            (6000, "term"),
            (6800, "started"),
        ]
        assert [s[:2] for s in said if s[2] == "n1"] == [(1000, "paused"), (3000, "resumed")]

    faults = [m.NodeKill(at_s=1.0, for_s=1.0, nodes=(0,)), m.NodeKill(at_s=1.5, for_s=2.5, nodes=(0,))]
    faults += [m.NodeRestart(at_s=6.0, for_s=0.8, nodes=(0,)), m.NodePause(at_s=1.0, for_s=1.0, nodes=(1,))]
    played(test, *faults, m.NodePause(at_s=1.5, for_s=1.5, nodes=(1,)))


def test_a_node_that_does_not_end_is_killed():
    async def test(one):
        one.runner.slow_to_end = True
        await one.line.run()
        at = 1000 + round(patience_ms(SCENE))
        said = [s[:2] for s in one.runner.said if s[2] == "n0"]
        assert said[1:] == [(1000, "term"), (at, "killed"), (at, "started")]

    played(test, m.NodeRestart(at_s=1.0, for_s=0.5, nodes=(0,)))


def test_stop_undoes_all_that_is_on_and_starts_nothing():
    async def test(one):
        run = asyncio.ensure_future(one.line.run())
        await one.clock.sleep_until(2000)
        host, link = next(iter(one.world.servers.values())), one.fabric.links.link
        discovery, origin = one.world.discovery.model, one.world.origin.model
        assert (
            host.model.faults.slowdown == 6.0
            and host.model.faults.lost_fraction == 0.02
            and link("n0", "n1").added_ms == 50.0
        )
        knobs = origin.slow, origin.down, discovery.calls.slow, discovery.endpoints.stale_since
        assert knobs == (5.0, "errors", 20.0, 500.0)
        await one.line.stop()
        assert run.cancelled()
        assert (
            host.model.faults.slowdown == 1.0
            and host.model.faults.lost_fraction == 0.0
            and link("n0", "n1").added_ms == 0.0
        )
        assert (origin.slow, origin.down) == (1.0, "")
        assert (discovery.calls.slow, discovery.endpoints.stale_since) == (1.0, None)
        assert {link("n0", h.party).state for h in one.world.servers.values()} == {"up"}
        began, ended = (sorted(r.name for r in one.of(FaultChanged, begins=b)) for b in (True, False))
        assert began == ended and "burst" in began
        assert not list(one.world.servers.values())[1].up and not one.runner.running("n0")
        assert one.runner.said[-1] == (2000, "resumed", "n1")
        bad = (5.0, (), True), (5.0, (), False)
        rest = [("hot_key", 0.5), ("bad_clients", *bad[0]), ("cool",), ("bad_clients", *bad[1])]
        assert one.controls.said == [("burst", 2.0), *rest, ("burst", 1.0)]

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
    played(test, *faults)


def test_the_same_seed_gives_the_same_world():
    faults = (m.Churn(at_s=1.0, for_s=5.0), m.Crash(at_s=2.0, share=0.3), m.ZoneLoss(at_s=6.0, zone="east"))

    async def test(one):
        await one.line.run()
        return one.log.digest()

    assert played(test, *faults) == played(test, *faults)
