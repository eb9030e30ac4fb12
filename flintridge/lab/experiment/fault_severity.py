"""Estimates the fraction of requests that even an ideal node loses to the faults of a scenario.

The estimates are accurate to a few percent. They rank the runs of a search; no rule depends on them.
"""

from functools import singledispatch

from flintridge.lab.experiment.fluid import flows, span_mean
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

MAX_SEVERITY = 0.95
SLOW_START_LOSS_FRACTION = 0.4  # mean fraction of the missing capacity over a server's warm-up


def severity(scenario: Scenario) -> float:
    """Estimate the fraction of a run's requests that even an ideal node loses to the faults.

    Returns:
        A fraction from 0 to 0.95. The effects of several faults are combined as if they were independent.
    """
    remaining = 1.0
    for fault in scenario.faults:
        remaining *= 1 - min(MAX_SEVERITY, max(0.0, _service_loss(fault, scenario)))
    return min(MAX_SEVERITY, 1 - remaining)


@singledispatch
def _service_loss(fault: model.Fault, scenario: Scenario) -> float:
    """Return the fraction of requests lost to a fault; 0 for faults that should not affect a node."""
    return 0.0


def _active_fraction(
    fault: model.TimedFault, scenario: Scenario, *, forever: bool = False, tail_s: float = 0.0
) -> float:
    """Return the fraction of the run during which a fault has an effect.

    Args:
        fault: The fault.
        scenario: The scenario of the fault.
        forever: Whether a fault with a length of 0 lasts until the end of the run.
        tail_s: How long the effect lasts after the end of the fault, in seconds.
    """
    remaining_s = max(0.0, scenario.length_s - fault.at_s)
    if forever and not fault.for_s:
        return remaining_s / scenario.length_s
    return min(remaining_s, fault.for_s + tail_s) / scenario.length_s


def _affected_fraction(fault: model.ServerFault, scenario: Scenario) -> float:
    """Return the fraction of all cache servers that a fault affects."""
    eligible = sum(
        g.count
        for g in scenario.servers
        if fault.kind in ("", g.kind) and (fault.zone in ("", g.zone) or g.zone is None)
    )
    total = sum(g.count for g in scenario.servers) or 1
    affected = len(fault.ids) or fault.count or fault.share * eligible
    return min(eligible, affected) / total


def _slow_start_s(scenario: Scenario) -> float:
    """Return the longest service time that a server loses by warming up, in seconds."""
    return SLOW_START_LOSS_FRACTION * max(kind.cold_s * (1 - kind.cold_from) for kind in scenario.kinds)


@_service_loss.register
def _(fault: model.ServerFault, scenario: Scenario) -> float:
    """Handle Crash, Silence and Replace: the servers are unavailable and then warm up."""
    unavailable = _active_fraction(
        fault, scenario, forever=not isinstance(fault, model.Replace), tail_s=_slow_start_s(scenario)
    )
    return _affected_fraction(fault, scenario) * unavailable


@_service_loss.register(model.Resets)
@_service_loss.register(model.QuickErrors)
@_service_loss.register(model.Spoilt)
@_service_loss.register(model.LostAnswers)
def _(
    fault: model.Resets | model.QuickErrors | model.Spoilt | model.LostAnswers, scenario: Scenario
) -> float:
    return 0.5 * fault.part * _affected_fraction(fault, scenario) * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.Slowness, scenario: Scenario) -> float:
    return (1 - 1 / fault.factor) * _affected_fraction(fault, scenario) * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.Stale, scenario: Scenario) -> float:
    return 0.1 * _affected_fraction(fault, scenario) * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.Crowding, scenario: Scenario) -> float:
    return fault.part * _affected_fraction(fault, scenario) * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.Drain, scenario: Scenario) -> float:
    tail = _slow_start_s(scenario) if fault.back else scenario.length_s
    return _affected_fraction(fault, scenario) * _active_fraction(fault, scenario, tail_s=tail)


@_service_loss.register
def _(fault: model.Churn, scenario: Scenario) -> float:
    servers = sum(group.count for group in scenario.servers) or 1
    return min(1.0, _slow_start_s(scenario) / fault.every_s / servers) * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.ZoneLoss, scenario: Scenario) -> float:
    servers = sum(g.count for g in scenario.servers) or 1
    lost = sum(
        g.count if g.zone else g.count / len(scenario.zones)
        for g in scenario.servers
        if g.zone in (None, fault.zone)
    )
    zones = scenario.nodes.zones or scenario.zones
    lost_node_fraction = zones.count(fault.zone) / len(zones) if fault.nodes else 0.0
    return max(lost / servers, lost_node_fraction) * _active_fraction(
        fault, scenario, tail_s=_slow_start_s(scenario) if fault.cold else 0.0
    )


@_service_loss.register
def _(fault: model.Cut, scenario: Scenario) -> float:
    return 0.3 * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.SlowLink, scenario: Scenario) -> float:
    return 0.1 * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.Flush, scenario: Scenario) -> float:
    return fault.part * 0.3 * min(1.0, 10.0 / scenario.length_s)


@_service_loss.register
def _(fault: model.HotKey, scenario: Scenario) -> float:
    return 0.5 * fault.part * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.Burst, scenario: Scenario) -> float:
    return max(0.0, 1 - 1 / fault.factor if fault.factor else 0.0) * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.OriginSlow, scenario: Scenario) -> float:
    return (1 - 1 / fault.factor) * flows(scenario).origin_fraction * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.OriginDown, scenario: Scenario) -> float:
    return flows(scenario).origin_fraction * _active_fraction(fault, scenario)


@_service_loss.register(model.DiscoveryDown)
@_service_loss.register(model.DiscoveryStale)
@_service_loss.register(model.DiscoverySlow)
def _(fault: model.TimedFault, scenario: Scenario) -> float:
    return 0.05 * _active_fraction(fault, scenario)


@_service_loss.register
def _(fault: model.NodeKill, scenario: Scenario) -> float:
    """Count the loss until clients switch to another node, or until the fault ends if no node is left."""
    fraction = min(1.0, (len(fault.nodes) or fault.count) / scenario.nodes.count)
    if fraction == 1:
        return _active_fraction(fault, scenario, forever=True)
    return fraction * min(
        _active_fraction(fault, scenario, forever=True),
        2 * span_mean(scenario.clients.notice_s) / scenario.length_s,
    )


@_service_loss.register
def _(fault: model.NodePause, scenario: Scenario) -> float:
    return min(1.0, (len(fault.nodes) or fault.count) / scenario.nodes.count) * _active_fraction(
        fault, scenario
    )


@_service_loss.register
def _(fault: model.NodeRestart, scenario: Scenario) -> float:
    return 0.02
