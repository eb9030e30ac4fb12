"""What active faults make of the fleet, however they overlap."""

from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.lab.faults.active_faults import ActiveFault, ActiveFaults, ServerImpairments
from flintridge.lab.faults.injection import NO_FAULTS, SystemState
from flintridge.lab.faults.link_effects import zone_isolations, zone_link_delays, zone_link_states
from flintridge.lab.scenario import model as m

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
    assert active.server_impairments("b") == ServerImpairments()
    assert active.origin_failure("west") == "refuses"
    assert zone_link_states(active, ["east", "west"])["east", "west"] == "silent"
    for i, number in enumerate(end):
        del active.by_number[number]
        again = ActiveFaults()
        again.by_number = {n: on for n, on in active.by_number.items() if n not in end[: i + 1]}
        assert state(active) == state(again)
    assert state(active) == fresh


def test_active_when_faults_overlap_then_shares_combine_and_steps_add_up():
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
