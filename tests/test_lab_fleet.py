"""Discovery, the fleet and the faults: models by a clock set by hand, then the world in virtual time."""

import asyncio
import random
from typing import TypeVar

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace
from support.network import FIXED

from flintridge.config.platform_config import node_config
from flintridge.lab.backend.virtual import VirtualFabric
from flintridge.lab.faults.active_faults import ActiveFault, ActiveFaults, ServerImpairments
from flintridge.lab.faults.bursts import burst_factor
from flintridge.lab.faults.check import check
from flintridge.lab.faults.link_effects import zone_isolations, zone_link_delays, zone_link_states
from flintridge.lab.faults.node_reconciler import termination_grace_ms
from flintridge.lab.faults.target_selection import Candidate, fault_generators, select_nodes, select_servers
from flintridge.lab.faults.timeline import Timeline
from flintridge.lab.records import (
    EndpointNotified,
    FaultChanged,
    MalformedMessage,
    RecordLog,
    ServerStateChanged,
)
from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.virtual import Network, VirtualLoop
from flintridge.lab.world.discovery import Desk, Entry, Roll
from flintridge.lab.world.discovery_deemed import Deemed
from flintridge.lab.world.discovery_host import BadCall, read_target
from flintridge.lab.world.discovery_list import IN_SERVICE, TERMINATED, TERMINATING
from flintridge.lab.world.fleet import World
from flintridge.lab.world.fleet_plan import Ids, specs
from flintridge.lab.world.links import LinkTable
from flintridge.lab.world.settings import node_settings

R = TypeVar("R")


def entry(name="a", phase=IN_SERVICE, started_at=0.0) -> Entry:
    return Entry(name, name, phase=phase, started_at=started_at)


def roll(notice=100.0, silent=500.0, *names) -> Roll:
    """With servers that are listed since long ago."""
    made = Roll(10, lambda: notice, lambda: silent)
    for name in names:
        made.enlist(-1e6, entry(name))
    return made


def listed(model: Roll, after: int) -> list[tuple[str, str, float]]:
    changes = model.since(after)
    assert changes is not None
    return [(c.entry.id, c.entry.phase, c.entry.started_at) for c in changes]


# The list


def test_changes_are_listed_late_and_each_servers_keep_their_order():
    delays = iter([1000.0, 100.0])
    model = Roll(10, lambda: next(delays), lambda: 500.0)
    model.enlist(0.0, entry())
    model.truth(0.0, entry(phase=TERMINATED))
    model.truth(50.0, entry(started_at=50.0))  # noticed sooner, but not before its own death
    assert not model.advance(999.0) and listed(model, 11) == []
    assert model.advance(1000.0)
    assert listed(model, 11) == [("a", IN_SERVICE, 50.0)] and model.revision == 13


def test_a_silence_is_listed_only_where_it_lasts_and_a_return_is_listed_again():
    model = roll(100.0, 500.0, "a")
    model.truth(0.0, entry(), silent=True)
    model.truth(0.0, entry(), silent=True)
    model.truth(499.0, entry())
    assert not model.advance(1e5)
    model.truth(1e5, entry(), silent=True)
    model.advance(1e5 + 500)
    assert listed(model, 11) == [("a", TERMINATED, 0.0)]
    model.truth(1e5 + 600, entry())
    model.advance(1e5 + 700)
    assert listed(model, 12) == [("a", IN_SERVICE, 0.0)]
    # It died while nobody heard of it: known once it would be heard of again.
    model.truth(2e5, entry(), silent=True)
    model.truth(2e5 + 100, entry(phase=TERMINATED), silent=True)
    model.truth(2e5 + 200, entry(phase=TERMINATED))
    assert not model.advance(2e5 + 299) and model.advance(2e5 + 300)


def test_a_stale_list_holds_what_happened_since_and_only_that():
    model = roll(100.0, 500.0, "a", "b")
    model.truth(0.0, entry("a", TERMINATING))
    model.stale_since = 50.0
    model.truth(60.0, entry("b", TERMINATING))
    model.truth(70.0, entry("b", TERMINATED))
    model.advance(1000.0)
    assert listed(model, 12) == [("a", TERMINATING, 0.0)]
    model.stale_since = None
    model.advance(1001.0)
    assert listed(model, 13) == [("b", TERMINATED, 0.0)]


def test_whoever_is_too_far_behind_or_ahead_needs_the_whole_list():
    model = roll(0.0, 0.0, "a")
    for i in range(3000):
        model.truth(i, entry(phase=TERMINATING if i % 2 else IN_SERVICE))
        model.advance(i)
    assert model.since(0) is None and model.since(11) is None and model.since(model.revision + 1) is None
    assert len(listed(model, model.revision - 500)) == 1 and len(model._changes) < 1100


STATES = st.sampled_from([IN_SERVICE, TERMINATING, TERMINATED, "silent", "stale", "fresh"])


@FIXED
@given(st.lists(st.tuples(st.integers(0, 3), STATES, st.floats(0, 400)), max_size=40), st.integers(1, 50))
def test_changes_since_any_revision_lead_to_the_whole_list(events, back):
    rng = random.Random(1)
    model = Roll(10, lambda: rng.uniform(0, 300), lambda: rng.uniform(100, 600))
    now, held, revision = 0.0, {}, 0
    truth = {name: entry(name) for name in "abcd"}
    for which, state, pause in [*events, (0, "fresh", 0.0), (0, "fresh", 5000.0)]:
        now += pause
        name = "abcd"[which]
        if state in ("stale", "fresh"):
            model.stale_since = now if state == "stale" else None
        else:
            phase = truth[name].phase if state == "silent" else state
            truth[name] = entry(name, phase, now if phase == IN_SERVICE else truth[name].started_at)
            model.truth(now, truth[name], silent=state == "silent")
        model.advance(now)
        if int(now) % back == 0:  # a node that asks now and then
            changes, revision = model.since(revision), model.revision
            held = held if changes is not None else {}
            for change in model.whole() if changes is None else changes:
                held[change.entry.id] = change.entry
    model.advance(now)
    for change in model.since(revision) or ([] if revision else model.whole()):
        held[change.entry.id] = change.entry
    alive = {name: one for name, one in held.items() if one.phase != TERMINATED}
    assert alive == {change.entry.id: change.entry for change in model.whole()}
    assert [c.revision for c in model._changes] == list(range(11, model.revision + 1))


# Calls


def run_desk(desk: Desk, until: float) -> list[tuple[float, int, int, int]]:
    """All answers by calls at `due` alone: instant, key, status, entries."""
    found, calls = [], 0
    while (due := desk.due()) is not None and due <= until:
        found += [(due, r.call.key, r.status, len(r.changes)) for r in desk.advance(due)]
        calls += 1
        assert calls < 1000, "it is due without end"
    return found


def test_calls_take_turns_and_fail_when_they_waited_too_long():
    desk = Desk(roll(0.0, 0.0, "a", "b"), call_ms=100.0, line_ms=10.0, timeout_ms=250.0)
    for key in range(5):
        desk.arrive(0.0, key, "n0", 0, 0.0)
    desk.leave(1)  # whoever hung up takes no turn
    ends = [(120.0, 0, 200, 2), (240.0, 2, 200, 2), (250.0, 4, 503, 0), (360.0, 3, 200, 2)]
    assert run_desk(desk, 1e6) == ends


def test_a_watch_wakes_for_news_or_ends_empty_and_costs_its_lines_only_once_more():
    model = roll(0.0, 0.0, "a")
    desk = Desk(model, call_ms=100.0, line_ms=10.0, timeout_ms=3000.0)
    desk.arrive(0.0, 1, "n0", model.revision, 5000.0)
    desk.arrive(0.0, 2, "n1", model.revision, 400.0)
    desk.arrive(0.0, 3, "n1", model.revision, 0.0)
    assert run_desk(desk, 450.0) == [(300.0, 3, 200, 0), (400.0, 2, 200, 0)]
    model.truth(1000.0, entry(phase=TERMINATING))
    model.advance(1000.0)
    assert desk.advance(1000.0) == [] and run_desk(desk, 1e6) == [(1010.0, 1, 200, 1)]
    # News that comes while a call has its turn is not missed, and a long wait is cut to a minute.
    desk.arrive(2000.0, 4, "n0", model.revision, 1e9)
    desk.advance(2000.0)
    model.truth(2050.0, entry())
    model.advance(2050.0)
    desk.advance(2050.0)
    assert run_desk(desk, 1e6) == [(2110.0, 4, 200, 1)]
    desk.arrive(3000.0, 5, "n0", model.revision, 1e9)
    assert run_desk(desk, 1e6) == [(63_000.0, 5, 200, 0)]


ANSWERS = {"errors": 503, "garbage": 200, "silent": None, "refuses": None}


@pytest.mark.parametrize("how, status", ANSWERS.items())
def test_going_down_ends_open_calls(how, status):
    model = roll(0.0, 0.0, "a")
    desk = Desk(model, 100.0, 10.0, 3000.0)
    desk.arrive(0.0, 1, "n0", model.revision, 5000.0)
    desk.advance(100.0)
    desk.arrive(100.0, 2, "n0", 0, 0.0)
    ended, replies = desk.set_down(how)
    assert [call.key for call in ended] == [1, 2]
    assert [r.status for r in replies] == ([] if status is None else [status] * 2)
    _, reply = desk.arrive(150.0, 3, "n0", 0, 0.0)
    assert (reply and reply.status) == status and desk.advance(1e5) == [] and desk.due() is None
    assert desk.set_down("") == ([], [])
    desk.arrive(200.0, 4, "n0", 0, 0.0)
    assert run_desk(desk, 1e6) == [(310.0, 4, 200, 1)]


# Who counts as told


class Dealings:
    """One node and a change that is listed at 1000."""

    def __init__(self) -> None:
        self.cut = False
        self.roll = roll(0.0, 0.0, "a")
        self.deemed = Deemed(self.roll, 10_000.0, lambda node: self.cut)
        self.deemed.started(0.0, "n0", self.roll.revision)

    def change(self, phase=TERMINATING) -> None:
        self.roll.truth(1000.0, entry(phase=phase))
        self.roll.advance(1000.0)

    def told_at(self, until=100_000) -> float | None:
        """When it counts as told, asked each 100 ms from 1000 on; once at the most."""
        found = [t for t in range(1000, until, 100) if self.deemed.check(float(t))]
        assert len(found) <= 1
        return found[0] if found else None


def test_who_asks_for_nothing_counts_as_told_once():
    one = Dealings()
    one.change()
    assert one.told_at() == 11_000
    late = Dealings()
    late.deemed.asked(5000.0, "n0", 1, 0.0)
    late.deemed.answered(5010.0, "n0", 1, late.roll.revision, False, True)  # before it was listed
    late.roll.truth(6000.0, entry(phase=TERMINATING))
    late.roll.advance(6000.0)
    assert late.told_at() == 16_000


def test_a_failed_call_gives_four_times_as_long_and_a_told_change_is_never_deemed():
    one = Dealings()
    one.change()
    one.deemed.asked(2000.0, "n0", 1, 0.0)
    one.deemed.failed(2000.0, "n0", 1)
    assert one.told_at() == 42_000
    told = Dealings()
    told.change()
    told.deemed.asked(2000.0, "n0", 1, 0.0)
    told.deemed.answered(2010.0, "n0", 1, told.roll.revision, True, True)
    assert told.told_at() is None


def test_a_watch_keeps_a_node_from_being_deemed_until_it_ends():
    one = Dealings()
    one.change()
    one.deemed.asked(1000.0, "n0", 1, 61_000.0)
    assert one.told_at(61_000) is None
    one.deemed.hung_up(61_000.0, "n0", 1, broken=False)  # its time was not over by much
    assert one.deemed.check(71_000.0) == [] and one.deemed.check(101_000.0) != []
    left = Dealings()
    left.deemed.asked(900.0, "n0", 1, 5000.0)
    left.deemed.hung_up(950.0, "n0", 1, broken=False)  # it ended its watch, and asks no more
    left.change()
    assert left.told_at() == 11_000


@pytest.mark.parametrize("wait, at", [(0.0, 7000), (9000.0, 12_000), (500.0, 3500)])
def test_an_answer_that_does_not_arrive_counts_all_the_same(wait, at):
    one = Dealings()
    one.deemed.asked(1000.0, "n0", 1, 1000.0 + wait)
    one.change()
    one.deemed.answered(1020.0, "n0", 1, one.roll.revision, wait > 0, left=False)
    assert one.told_at() == at


def test_who_cannot_ask_is_excused():
    cut = Dealings()
    cut.change()
    cut.cut = True
    assert cut.told_at(60_000) is None
    cut.cut = False
    assert cut.deemed.check(99_000.0) == [] and cut.deemed.check(100_000.0) != []
    paused = Dealings()
    paused.change()
    paused.deemed.paused(5000.0, "n0", True)
    assert paused.told_at(60_000) is None
    paused.deemed.paused(60_000.0, "n0", False)
    assert paused.deemed.check(69_900.0) == [] and paused.deemed.check(70_000.0) != []
    dead = Dealings()
    dead.change()
    dead.deemed.ended("n0")
    assert dead.told_at() is None


def test_a_reload_tells_of_what_is_listed_then_and_of_no_later_change():
    one = Dealings()
    one.change()
    one.deemed.reloaded(2000.0, "n0")
    one.roll.truth(2500.0, entry(phase=TERMINATED))
    one.roll.advance(2500.0)
    assert one.deemed.check(5999.0) == []
    [(node, revision, changes)] = one.deemed.check(6000.0)
    assert (node, revision, [c.entry.phase for c in changes]) == ("n0", 12, [TERMINATING])


# Plans, settings, choice


SCENE = m.Scenario(
    zones=("east", "west"),
    nodes=m.Nodes(count=2),
    kinds=(m.Kind(name="big", speed=(1.0, 2.0), idle_s=9.0), m.Kind(name="small", idle_s=4.0)),
    servers=(m.Group(kind="big", count=3, weight=(1.0, 2.0)), m.Group(kind="small", count=3, zone="west")),
    discovery=m.Discovery(notice_s=0.2, silent_s=3.0, call_ms=10.0),
    links=m.Links(jitter=0.0),
    classes=(m.RequestClass(name="read"), m.RequestClass(name="put", effect="keyed", write=True)),
    tenants=(m.Tenant(name="a", share=3.0), m.Tenant(name="b", quota_per_s=7.0)),
    keys=m.Keys(count=50, change_per_s=5.0),
)


def test_the_settings_are_what_a_node_reads():
    config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff"}
    built = node_config(config | {"settings": node_settings(SCENE, 2, 1, "west")}, {})
    settings = built.settings
    assert (built.zones, built.kinds, settings.zone) == (SCENE.zones, ("big", "small", "origin"), 1)
    assert (settings.origin_kind, settings.mode.value, settings.discovery.value) == (2, "aside", "on_request")
    assert (settings.limits.conn_idle_ns, settings.rules.poll_interval_ns) == (4 * 10**9, 10**10)
    assert [(t.share, t.quota_per_s) for t in settings.tenants] == [(0.75, 0.0), (0.25, 7.0)]
    assert [(c.name, c.effect.value, c.deduplication_window_ns) for c in settings.classes][1] == (
        "put",
        "keyed",
        25 * 10**8,
    )


def test_servers_are_drawn_by_the_seed_and_their_ids_tell_nothing():
    made = specs(SCENE, Seeds(1), Ids(Seeds(1).of("ids")))
    assert made == specs(SCENE, Seeds(1), Ids(Seeds(1).of("ids")))
    assert [spec.zone for spec in made] == ["east", "west", "east", "west", "west", "west"]
    ids = [spec.id for spec in made]
    assert ids != sorted(ids) and len({spec.weight for spec in made[:3]}) == 3
    assert ids != [spec.id for spec in specs(SCENE, Seeds(2), Ids(Seeds(2).of("ids")))]


ZONES, KINDS = ["east"] * 4 + ["west"] * 4, ["small", "big"] * 4
THERE = [Candidate(f"x{i}", f"s{i}", ZONES[i], KINDS[i]) for i in range(8)]
NAMED = [({"share": 0.01}, 1), ({"share": 0.01, "zone": "west"}, 1), ({"share": 1.0}, 8), ({"count": 3}, 3)]
NAMED += [({"count": 99, "kind": "big"}, 4), ({"zone": "west", "kind": "big"}, 2)]
NAMED += [({"ids": ("s1", "x5", "s9")}, 2)]


@pytest.mark.parametrize("named, count", NAMED)
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


# Overlaps


MANY = [m.Slowness(factor=10.0), m.Slowness(factor=2.0), m.QuickErrors(part=0.5), m.QuickErrors(part=0.5)]
MANY += [m.Stale(after_ms=500.0), m.Stale(after_ms=200.0, silent=True), m.Crowding(part=0.25)]
MANY += [m.Resets(part=1.0), m.LostAnswers(), m.Spoilt(), m.Crash(), m.Silence(), m.NodeKill(), m.NodePause()]
MANY += [m.ZoneLoss(zone="west", how="reset"), m.ZoneLoss(zone="west", nodes=True)]
MANY += [m.ZoneLoss(zone="west", how="die", nodes=True), m.Cut(zone="west", other="east", how="reset")]
MANY += [m.SlowLink(zone="east", other="west", add_ms=7.0), m.OriginDown(how="silent"), m.OriginDown()]
MANY += [m.DiscoveryDown(how="garbage"), m.DiscoveryStale(at_s=3.0), m.HotKey(part=0.2)]
MANY += [m.BadClients(per_s=2.0, kinds=("flood",))]


def state(active: ActiveFaults) -> list[object]:
    servers = [
        getattr(active, name)("a")
        for name in (
            "server_impairments",
            "server_down",
            "server_draining",
            "server_unreachable",
            "server_unobserved",
        )
    ]
    links = [zone_isolations(active), zone_link_states(active, ["east", "west"]), zone_link_delays(active)]
    services = [
        active.origin_failure("west"),
        active.discovery_failure("east"),
        active.discovery_stale_since(),
    ]
    rest = [
        active.node_down("n0"),
        active.node_paused("n0"),
        active.hot_key_fraction(),
        active.malformed_clients(),
    ]
    return [*servers, *links, *services, *rest]


@FIXED
@given(st.permutations(range(len(MANY))), st.permutations(range(len(MANY))))
def test_the_end_of_one_fault_undoes_no_other(begin, end):
    active, fresh = ActiveFaults(), state(ActiveFaults())
    for number in begin:
        active.by_number[number] = ActiveFault(MANY[number], ("a",), ("n0",))
    everything = active.server_impairments("a")
    assert everything.slowdown == 20.0 and everything.error_fraction == 0.75
    assert (everything.stale_after_ms, everything.stale_unresponsive) == (200.0, True)
    assert (
        active.server_impairments("b") == ServerImpairments() and active.origin_failure("west") == "refuses"
    )
    assert zone_link_states(active, ["east", "west"])["east", "west"] == "silent"
    for i, number in enumerate(end):
        del active.by_number[number]
        again = ActiveFaults()
        again.by_number = {n: on for n, on in active.by_number.items() if n not in end[: i + 1]}
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


# The world in virtual time


class Runner:
    """A NodeRunner of nodes that do nothing; if `slow_to_end` they never end by themselves."""

    def __init__(self, world: World) -> None:
        self.world, self.said, self.slow_to_end = world, [], False
        self._ended = {node: asyncio.Event() for node in world.nodes}
        for event in self._ended.values():
            event.set()

    def say(self, what: str, node: str) -> None:
        self.said.append((round(self.world.fabric.clock.now()), what, node))

    async def start(self, node):
        assert not self.running(node)
        self._ended[node].clear()
        node_config(self.world.node_config(node), {})
        self.say("started", node)

    def kill(self, node):
        self.say("killed", node)
        self._ended[node].set()

    def term(self, node):
        self.say("term", node)
        if not self.slow_to_end:
            asyncio.get_running_loop().call_later(0.7, self._ended[node].set)

    def reload(self, node, config):
        self.say(f"hup {config['discovery']}", node)
        assert node_config(config, {}).discovery.port

    def pause(self, node):
        self.say("paused", node)

    def resume(self, node):
        self.say("resumed", node)

    def running(self, node):
        return not self._ended[node].is_set()

    async def ended(self, node):
        await self._ended[node].wait()


class Controls:
    """LoadControls that write down what they are told; of a burst, its factor at 1.5 s."""

    def __init__(self) -> None:
        self.said = []

    def __getattr__(self, name):
        return lambda *told: self.said.append((name, *(a(1500.0) if callable(a) else a for a in told)))


class Stage:
    def __init__(self, scenario, loop, seed=1) -> None:
        seeds, self.log, links = Seeds(seed), RecordLog(), loop.network._make_link.__self__
        self.fabric = VirtualFabric(loop, links, loop.time() + 1.0)
        self.clock = self.fabric.clock
        self.world = World(scenario, seeds, self.log, self.fabric, GroundTruth())
        self.runner, self.controls = Runner(self.world), Controls()
        self.line = Timeline(scenario, seeds, self.world, self.fabric, self.runner, self.controls)

    def of(self, kind: type[R], **fields) -> list[R]:
        return [
            r for r in self.log if isinstance(r, kind) and all(getattr(r, k) == v for k, v in fields.items())
        ]

    def play(self):
        self.task = asyncio.ensure_future(self.line.run())

    async def call(self, node, target="/api/targets", address=None, method="GET"):
        """A GET from the node's host: status and body."""
        host, _, port = (address or self.world.discovery.address(node)).rpartition(":")
        return await self.fabric.network.host(node).run(self._get(host, int(port), target, method))

    @staticmethod
    async def _get(host, port, target, method):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
            return int(head.split()[1]), await reader.readexactly(length)
        finally:
            writer.close()


def played(test, *faults, **changes):
    """Run `test` on a stage that is open, in virtual time."""
    scenario = replace(SCENE, **changes, faults=faults)
    assert check(scenario) == []

    async def main():
        one = Stage(scenario, asyncio.get_running_loop())
        await one.world.open()
        for node in one.world.nodes:
            await one.runner.start(node)
        try:
            return await test(one)
        finally:
            await one.line.stop()
            await one.world.close()

    links = LinkTable(scenario.links, Seeds(1))
    return VirtualLoop(Network(links.link)).run(main(), wall_limit_s=60)


def test_a_node_hears_of_the_list_by_http():
    async def test(one):
        status, body = await one.call("n0")
        whole = orjson.loads(body)
        members = {entry["id"]: entry for entry in whole["members"]}
        assert status == 200 and whole["complete"] and len(members) == 7
        assert whole == one.world.node_config("n0")["known"] and members["origin"]["flavor"] == "origin"
        hosts = {entry["host_port"] for entry in members.values()}
        assert hosts.isdisjoint(e["host_port"] for e in one.world.discovery.list_for("n1")["members"])
        victim = next(iter(one.world.servers))
        target = f"/api/targets?after={whole['revision']}&wait_ms=20000"
        waiting = asyncio.ensure_future(one.call("n1", target))
        await asyncio.sleep(1)
        at = one.clock.now()
        one.world.drain(victim)
        status, body = await waiting
        told = orjson.loads(body)
        assert not told["complete"] and [e["phase"] for e in told["members"]] == ["terminating"]
        [record] = one.of(EndpointNotified, complete=False)
        assert record.endpoints == [(victim, "terminating", 0.0)] and not record.assumed
        assert at + 200 <= record.at_ms < at + 220 and record.node == "n1"
        # n0 asked once and for nothing since: it counts as told ten seconds after the change was listed.
        await asyncio.sleep(11)
        [assumed] = one.of(EndpointNotified, assumed=True)
        assert assumed.node == "n0" and at + 10_200 <= assumed.at_ms <= at + 10_301

    played(test)


def test_what_no_node_asks_is_recorded_and_refused():
    async def test(one):
        for target, method in (("/", "GET"), ("/api/targets?after=x", "GET"), ("/api/targets", "PUT")):
            assert (await one.call("n0", target, method=method))[0] == 400
        assert [r.node for r in one.of(MalformedMessage, server="discovery")] == ["n0"] * 3

    played(test)
    assert read_target("/api/targets?after=41&wait_ms=20000") == (41, 20000.0)
    for bad in ("/api/targets?after=-1", "/api/targets?wait=1", "/api/targets?after=9" + "9" * 20, "//x"):
        with pytest.raises(BadCall):
            read_target(bad)


@pytest.mark.parametrize("how", ["refuses", "errors", "silent", "garbage"])
def test_discovery_goes_down_and_comes_back(how):
    async def test(one):
        one.play()
        target = f"/api/targets?after={one.world.discovery.model.roll.revision}&wait_ms=20000"
        watch = asyncio.ensure_future(one.call("n0", target))
        await one.clock.sleep_until(2000)
        call = asyncio.ensure_future(one.call("n1"))
        await one.clock.sleep_until(2900)
        if how == "silent":
            assert not watch.done() and not call.done()
        await one.clock.sleep_until(3100)
        ends = await asyncio.gather(watch, call, return_exceptions=True)
        if how in ("errors", "garbage"):
            assert [end[0] for end in ends] == [503 if how == "errors" else 200] * 2
            assert not any(end[1].startswith(b'{"revision":10') for end in ends)
        else:
            assert all(isinstance(end, (OSError, EOFError)) for end in ends)
        assert not [r for r in one.of(EndpointNotified) if r.at_ms > 0]
        assert (await one.call("n1"))[0] == 200

    played(test, m.DiscoveryDown(at_s=1.0, for_s=2.0, how=how))


def test_a_reload_moves_a_node_to_another_address_and_closes_the_old_one():
    async def test(one):
        old = one.world.discovery.address("n0")
        one.play()
        target = f"/api/targets?after={one.world.discovery.model.roll.revision}&wait_ms=20000"
        watch = asyncio.ensure_future(one.call("n0", target, old))
        await one.clock.sleep_until(2400)
        assert not watch.done()
        with pytest.raises(ConnectionRefusedError):
            await one.call("n0", address=old)
        assert (await one.call("n0"))[0] == 200 and one.world.discovery.address("n0") != old
        await one.clock.sleep_until(2600)
        assert isinstance(watch.exception(), EOFError)
        await one.clock.sleep_until(6000)
        assert one.world.discovery.address("n0") == old and (await one.call("n0", address=old))[0] == 200
        assert [said[2] for said in one.runner.said if said[1].startswith("hup")] == ["n0", "n0"]

    played(test, m.Reload(at_s=1.0, nodes=(0,)), m.Reload(at_s=5.0, nodes=(0,)))


def test_overlapping_crashes_start_a_server_once_cold_when_the_last_ends():
    async def test(one):
        await one.line.run()
        name = next(iter(one.world.servers))
        lives = [(r.at_ms, r.state, r.warm_up_ms) for r in one.of(ServerStateChanged, server=name)][1:]
        assert lives == [(1000.0, "stopped", 0.0), (5000.0, "started", 9000.0)]
        happened = [(r.at_ms, r.begins) for r in one.of(FaultChanged)]
        assert happened == [(1000.0, True), (2000.0, True), (3000.0, False), (5000.0, False)]
        await asyncio.sleep(1)
        entries = {c.entry.id: c.entry for c in one.world.discovery.model.roll.whole()}
        assert entries[name].started_at == 5000.0

    played(test, m.Crash(at_s=1.0, for_s=2.0, ids=("s0",)), m.Crash(at_s=2.0, for_s=3.0, ids=("s0",)))


@pytest.mark.parametrize("nodes", [False, True])
def test_a_zone_that_was_silent_comes_back_cold(nodes):
    async def test(one):
        one.play()
        link, west = one.fabric.links.link, [h for h in one.world.servers.values() if h.zone == "west"]
        await one.clock.sleep_until(2000)
        assert [link("n0", h.listen_as).state for h in west] == ["silent"] * 4
        assert link("n1", west[0].listen_as).state == "silent"  # n1 stands in that zone
        assert (
            (link("n1", "origin").state == "silent") == nodes == (link("discovery", "n1").state == "silent")
        )
        assert link("c0", "n1").state == "up" and link("n0", "origin").state == "up"
        await one.clock.sleep_until(4500)  # listed as gone after three seconds
        assert len(one.world.discovery.model.roll.whole()) == 3
        await one.clock.sleep_until(7000)
        assert [link("n0", h.listen_as).state for h in west] == ["up"] * 4
        back = {c.entry.id: c.entry for c in one.world.discovery.model.roll.whole()}
        assert [back[h.id].started_at for h in west] == [6000.0] * 4
        states = [r.state for r in one.of(ServerStateChanged, server=west[0].id)]
        assert states == ["started", "silent", "stopped", "started", "back"]
        # At no time was it listed as one that runs since long ago.
        phases = [c.entry for c in one.world.discovery.model.roll._changes if c.entry.id == west[0].id]
        assert [(e.phase, e.started_at) for e in phases[1:]] == [("terminated", 0.0), ("in_service", 6000.0)]

    played(test, m.ZoneLoss(at_s=1.0, for_s=5.0, zone="west", nodes=nodes))


def test_replaced_and_churned_servers_have_new_ids_at_the_old_addresses():
    async def test(one):
        before = {h.listen_as: h.id for h in one.world.servers.values()}
        await one.line.run()
        after = {h.listen_as: h.id for h in one.world.servers.values()}
        assert sorted(before) == sorted(after)
        renewed = [party for party in before if before[party] != after[party]]
        assert next(iter(before)) in renewed and len(renewed) == 4
        assert all(h.up and not h.model.draining for h in one.world.servers.values())
        gone = [r.server for r in one.of(ServerStateChanged, state="gone")]
        listed = [c.entry.id for c in one.world.discovery.model.roll.whole()]
        await asyncio.sleep(1)
        assert len(gone) == 4 and len(listed) == 7
        assert not set(gone) & {c.entry.id for c in one.world.discovery.model.roll.whole()}

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


def test_a_fallen_server_is_listed_as_gone():
    async def test(one):
        name, host = next(iter(one.world.servers.items()))
        host.fall()
        await asyncio.sleep(0.5)
        assert name not in [c.entry.id for c in one.world.discovery.model.roll.whole()]

    played(test)


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
        at = 1000 + round(termination_grace_ms(SCENE))
        said = [s[:2] for s in one.runner.said if s[2] == "n0"]
        assert said[1:] == [(1000, "term"), (at, "killed"), (at, "started")]

    played(test, m.NodeRestart(at_s=1.0, for_s=0.5, nodes=(0,)))


def test_stop_undoes_all_that_is_on_and_starts_nothing():
    async def test(one):
        run = asyncio.ensure_future(one.line.run())
        await one.clock.sleep_until(2000)
        host, link = next(iter(one.world.servers.values())), one.fabric.links.link
        discovery, origin = one.world.discovery.model, one.world.origin.model
        assert host.model.slow == 6.0 and host.model.lost_part == 0.02 and link("n0", "n1").added == 50.0
        knobs = origin.slow, origin.down, discovery.slow, discovery.stale_since
        assert knobs == (5.0, "errors", 20.0, 500.0)
        await one.line.stop()
        assert run.cancelled()
        assert host.model.slow == 1.0 and host.model.lost_part == 0.0 and link("n0", "n1").added == 0.0
        assert (origin.slow, origin.down, discovery.slow, discovery.stale_since) == (1.0, "", 1.0, None)
        assert {link("n0", h.listen_as).state for h in one.world.servers.values()} == {"up"}
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


def test_values_change_at_the_origin_all_day():
    async def test(one):
        await asyncio.sleep(30)
        changes = sum(version - 1 for version in one.world.objects._versions.values())
        assert 100 < changes < 200
        await one.world.close()
        await asyncio.sleep(5)
        assert sum(version - 1 for version in one.world.objects._versions.values()) == changes

    played(test)


def test_the_same_seed_gives_the_same_world():
    faults = (m.Churn(at_s=1.0, for_s=5.0), m.Crash(at_s=2.0, share=0.3), m.ZoneLoss(at_s=6.0, zone="east"))

    async def test(one):
        await one.line.run()
        return one.log.digest()

    assert played(test, *faults) == played(test, *faults)
