"""The combined effects of overlapping faults."""

from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.lab.faults.active_faults import ActiveFault, ActiveFaults, ServerImpairments
from flintridge.lab.faults.injection import NO_FAULTS, SystemState
from flintridge.lab.faults.link_effects import zone_isolations, zone_link_delays, zone_link_states
from flintridge.lab.scenario import model as m

FAULTS = [m.Slowness(factor=10.0), m.Slowness(factor=2.0), m.QuickErrors(part=0.5), m.QuickErrors(part=0.5)]
FAULTS += [m.Stale(after_ms=500.0), m.Stale(after_ms=200.0, silent=True), m.Crowding(part=0.25)]
FAULTS += [
    m.Resets(part=1.0),
    m.LostAnswers(),
    m.Spoilt(),
    m.Crash(),
    m.Silence(),
    m.NodeKill(),
    m.NodePause(),
]
FAULTS += [m.ZoneLoss(zone="west", how="reset"), m.ZoneLoss(zone="west", nodes=True)]
FAULTS += [m.ZoneLoss(zone="west", how="die", nodes=True), m.Cut(zone="west", other="east", how="reset")]
FAULTS += [m.SlowLink(zone="east", other="west", add_ms=7.0), m.OriginDown(how="silent"), m.OriginDown()]
FAULTS += [m.DiscoveryDown(how="garbage"), m.DiscoveryStale(at_s=3.0), m.HotKey(part=0.2)]
FAULTS += [m.BadClients(per_s=2.0, kinds=("flood",))]


def effects(active: ActiveFaults) -> list[object]:
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
@given(st.permutations(range(len(FAULTS))), st.permutations(range(len(FAULTS))))
def test_active_faults_when_one_ends_then_the_others_stay_in_effect(start_order, end_order):
    active, no_effects = ActiveFaults(), effects(ActiveFaults())
    for number in start_order:
        active.by_number[number] = ActiveFault(FAULTS[number], ("a",), ("n0",))
    everything = active.server_impairments("a")
    assert everything.slowdown == 20.0 and everything.error_fraction == 0.75
    assert (everything.stale_after_ms, everything.stale_unresponsive) == (200.0, True)
    assert active.server_impairments("b") == ServerImpairments()
    assert active.origin_failure("west") == "refuses"
    assert zone_link_states(active, ["east", "west"])["east", "west"] == "silent"
    for i, number in enumerate(end_order):
        del active.by_number[number]
        remaining = ActiveFaults()
        remaining.by_number = {n: on for n, on in active.by_number.items() if n not in end_order[: i + 1]}
        assert effects(active) == effects(remaining)
    assert effects(active) == no_effects


def test_active_faults_when_they_overlap_then_fractions_combine_and_clock_steps_add_up():
    active = ActiveFaults()
    faults = [
        m.ShortIo(part=0.5, most_bytes=9),
        m.ShortIo(part=0.5, most_bytes=5),
        m.Stall(part=0.1, most_ms=30.0),
        m.ClockStep(seconds=10.0),
        m.ClockStep(seconds=-3.0),
    ]
    active.by_number = {i: ActiveFault(fault, nodes=("n0",)) for i, fault in enumerate(faults)}
    assert active.system_state("n0") == SystemState(
        short_io_fraction=0.75,
        short_io_bytes=5,
        stall_fraction=0.1,
        max_stall_ms=30.0,
        clock_offset_ms=7000.0,
    )
    assert active.system_state("n1") == NO_FAULTS
