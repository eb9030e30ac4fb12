"""Draws the random faults of a scenario."""

from collections.abc import Callable
from random import Random
from typing import Any, Literal

from flintridge.lab.experiment.random_values import log_uniform
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.scenario.system_faults import ERRORS_OF_CALL

FaultMaker = Callable[[Random, Scenario], Any]
ValueMaker = Callable[[Random], Any]


def draw_faults(generator: Random, scenario: Scenario) -> tuple[Any, ...]:
    """Draw up to five faults for a scenario without faults, in the order of their start times."""
    count = generator.choices((0, 1, 2, 3, 4, 5), (1, 4, 4, 3, 2, 1))[0]
    faults = [maker(generator, scenario) for maker in generator.choices(_FAULT_MAKERS, k=count)]
    return tuple(sorted((fault for fault in faults if fault is not None), key=lambda fault: fault.at_s))


def _fault_time(generator: Random, scenario: Scenario, low: float = 0.5, high: float = 0.5) -> dict[str, Any]:
    """Draw the start and length of a fault that ends before the end of the run.

    Args:
        generator: The generator for all draws.
        scenario: The scenario without faults.
        low: The minimum length in seconds.
        high: The maximum length as a fraction of the run's length.
    """
    start_s = round(generator.uniform(0, 0.75) * scenario.length_s, 1)
    duration_s = min(
        log_uniform(generator, low, max(low * 1.1, high * scenario.length_s)),
        scenario.length_s - start_s - 0.2,
    )
    return {"at_s": start_s, "for_s": round(max(0.2, duration_s), 1)}


def _affected_servers(generator: Random, scenario: Scenario) -> dict[str, Any]:
    """Draw the servers that a fault affects: a few, a fraction of all, or a fraction of one zone or kind."""
    selection = generator.choices(("one", "share", "zone", "kind"), (4, 4, 1, 1))[0]
    if selection == "one":
        return {"count": generator.randint(1, max(1, min(3, sum(g.count for g in scenario.servers) // 2)))}
    if selection == "share":
        return {"share": round(log_uniform(generator, 0.1, 0.8), 2)}
    if selection == "zone":
        zone = generator.choice(sorted({g.zone for g in scenario.servers if g.zone}))
        return {"zone": zone, "share": round(generator.uniform(0.3, 1), 2)}
    return {
        "kind": generator.choice([kind.name for kind in scenario.kinds]),
        "share": round(generator.uniform(0.3, 1), 2),
    }


def _server_fault(make: Callable[..., Any], **values: ValueMaker) -> FaultMaker:
    """Return a function that draws a server fault, with additional parameters drawn by `values`."""

    def maker(generator: Random, scenario: Scenario) -> Any:
        parameters = {name: draw_value(generator) for name, draw_value in values.items()}
        return make(
            **_fault_time(generator, scenario), **_affected_servers(generator, scenario), **parameters
        )

    return maker


def _timed_fault(make: Callable[..., Any], **values: ValueMaker) -> FaultMaker:
    """Return a function that draws a timed fault, with additional parameters drawn by `values`."""

    def maker(generator: Random, scenario: Scenario) -> Any:
        return make(
            **_fault_time(generator, scenario),
            **{name: draw_value(generator) for name, draw_value in values.items()},
        )

    return maker


def _zone_link_fault(make: Callable[..., Any], **values: ValueMaker) -> FaultMaker:
    """Return a function that draws a fault between two zones, or None if there is only one zone."""

    def maker(generator: Random, scenario: Scenario) -> Any:
        if len(scenario.zones) < 2:
            return None
        zone, other = generator.sample(scenario.zones, 2)
        parameters = {name: draw_value(generator) for name, draw_value in values.items()}
        return make(**_fault_time(generator, scenario), zone=zone, other=other, **parameters)

    return maker


def _zone_loss(generator: Random, scenario: Scenario) -> Any:
    """Draw the loss of a zone, or return None if there is only one zone."""
    if len(scenario.zones) < 2:
        return None
    mode: Literal["silent", "reset", "die"] = generator.choice(("silent", "reset", "die"))
    with_nodes = generator.random() < 0.3
    restarts_cold = generator.random() < 0.6
    # The nodes of the zone are included only if another zone has nodes.
    node_zones = {scenario.zones[i % len(scenario.zones)] for i in range(scenario.nodes.count)}
    zone = generator.choice(scenario.zones)
    return model.ZoneLoss(
        **_fault_time(generator, scenario),
        zone=zone,
        how=mode,
        nodes=with_nodes and bool(node_zones - {zone}),
        cold=restarts_cold,
    )


def _node_fault(make: Callable[..., Any], high: float) -> FaultMaker:
    """Return a function that draws a node fault that lasts at most the fraction `high` of the run."""

    def maker(generator: Random, scenario: Scenario) -> Any:
        return make(
            **_fault_time(generator, scenario, 0.3, high),
            count=generator.randint(1, max(1, scenario.nodes.count - 1)),
        )

    return maker


def _system_fault(make: Callable[..., Any], **values: ValueMaker) -> FaultMaker:
    """Return a function that draws a fault of the nodes' operating systems; a count of 0 means all nodes."""

    def maker(generator: Random, scenario: Scenario) -> Any:
        parameters = {name: draw_value(generator) for name, draw_value in values.items()}
        return make(
            **_fault_time(generator, scenario), count=generator.randint(0, scenario.nodes.count), **parameters
        )

    return maker


def _system_call_errors(generator: Random, scenario: Scenario) -> Any:
    """Draw errors of one system call, at a fraction of calls from 0.01 to 0.5 or, for most calls, 0.05."""
    call = generator.choice(tuple(ERRORS_OF_CALL))
    errors = tuple(generator.sample(ERRORS_OF_CALL[call], k=generator.randint(1, 3)))
    fraction = round(
        log_uniform(generator, 0.01, 0.5 if call in ("accept", "connect", "socket") else 0.05), 3
    )
    count = generator.randint(0, scenario.nodes.count)
    return model.SystemCallErrors(
        **_fault_time(generator, scenario), call=call, errors=errors, part=fraction, count=count
    )


def _clock_step(generator: Random, scenario: Scenario) -> Any:
    """Draw a clock step of 0.5 to 60 s or of one hour, forward or back."""
    seconds = generator.choice((round(log_uniform(generator, 0.5, 60), 1), 3600.0)) * generator.choice(
        (-1, 1)
    )
    start_s = _fault_time(generator, scenario)["at_s"]
    return model.ClockStep(at_s=start_s, seconds=seconds, count=generator.randint(0, scenario.nodes.count))


def _reload(generator: Random, scenario: Scenario) -> Any:
    """Draw a reload of the configuration."""
    return model.Reload(
        at_s=_fault_time(generator, scenario)["at_s"], count=generator.randint(0, scenario.nodes.count)
    )


def _flush(generator: Random, scenario: Scenario) -> Any:
    """Draw a flush of cached entries."""
    return model.Flush(
        at_s=_fault_time(generator, scenario)["at_s"], part=round(generator.uniform(0.2, 1), 2)
    )


def _log_range(low: float, high: float) -> Callable[[Random], float]:
    """Return a function that draws from the log-uniform distribution between `low` and `high`."""
    return lambda generator: round(log_uniform(generator, low, high), 3)


def _one_of(*values: Any) -> ValueMaker:
    """Return a function that draws one of the given values."""
    return lambda generator: generator.choice(values)


_FAULT_MAKERS: tuple[FaultMaker, ...] = (
    _server_fault(model.Crash),
    _server_fault(model.Silence),
    _server_fault(model.Resets, part=_log_range(0.02, 0.6)),
    _server_fault(model.QuickErrors, part=_log_range(0.05, 1)),
    _server_fault(model.Slowness, factor=_log_range(2, 100)),
    _server_fault(model.Spoilt, part=_log_range(0.01, 0.3)),
    _server_fault(model.LostAnswers, part=_log_range(0.01, 0.3)),
    _server_fault(model.Stale, after_ms=_log_range(100, 2000), silent=_one_of(False, False, True)),
    _server_fault(model.Crowding, part=_log_range(0.2, 0.8)),
    _server_fault(model.Drain, back=_one_of(True, False)),
    _server_fault(model.Replace, same_address=_one_of(True, False)),
    _timed_fault(model.Churn, every_s=_log_range(0.5, 4), same_address=_one_of(True, False)),
    _zone_loss,
    _zone_link_fault(model.Cut, how=_one_of("silent", "reset")),
    _zone_link_fault(model.SlowLink, add_ms=_log_range(10, 400)),
    _flush,
    _timed_fault(model.HotKey, part=_log_range(0.1, 0.8)),
    _timed_fault(model.Burst, factor=_log_range(1.3, 4), ramp_s=_one_of(0.0, 0.5, 2.0)),
    _timed_fault(model.OriginSlow, factor=_log_range(1.5, 20)),
    _timed_fault(model.OriginDown, how=_one_of("declines", "errors", "silent", "refuses")),
    _timed_fault(model.DiscoveryDown, how=_one_of("refuses", "errors", "silent", "garbage")),
    _timed_fault(model.DiscoveryStale),
    _timed_fault(model.DiscoverySlow, factor=_log_range(3, 60)),
    _node_fault(model.NodeKill, 0.5),
    _node_fault(model.NodeRestart, 0.3),
    _node_fault(model.NodePause, 0.15),
    _node_fault(model.NodeDrain, 0.3),
    _reload,
    _timed_fault(model.BadClients, per_s=_log_range(1, 20)),
    _system_call_errors,
    _system_fault(model.ShortIo, part=_log_range(0.02, 0.5), most_bytes=_one_of(1, 7, 64, 512)),
    _system_fault(model.Stall, part=_log_range(0.001, 0.02), most_ms=_log_range(5, 150)),
    _clock_step,
)
