"""The effect of bursts on the request rate."""

from collections.abc import Sequence

from flintridge.lab.scenario import model as m


def burst_factor(faults: Sequence[m.AnyFault], at_ms: float) -> float:
    """Return the factor by which bursts multiply the usual request rate; they rise and fall over their ramps.

    Args:
        faults: All faults of the scenario.
        at_ms: The time of the run, in milliseconds.
    """
    factor = 1.0
    for fault in faults:
        if isinstance(fault, m.Burst):
            factor *= 1.0 + (fault.factor - 1.0) * _ramp_height(fault, at_ms)
    return factor


def _ramp_height(burst: m.Burst, at_ms: float) -> float:
    """Return how far the burst's rate has risen: 0 for the usual rate, 1 for the whole factor."""
    elapsed_s = at_ms / 1000 - burst.at_s
    remaining_s = burst.at_s + burst.for_s - at_ms / 1000
    if elapsed_s < 0 or remaining_s <= 0:
        return 0.0
    ramp_s = min(burst.ramp_s, burst.for_s / 2)
    return min(1.0, elapsed_s / ramp_s, remaining_s / ramp_s) if ramp_s else 1.0
