"""The effect of bursts on the request rate."""

from flintridge.lab.faults.bursts import burst_factor
from flintridge.lab.scenario import model as m


def test_burst_factor_when_bursts_overlap_then_rises_and_falls_over_their_ramps():
    bursts = [m.Burst(at_s=1.0, for_s=2.0, factor=3.0, ramp_s=0.5), m.Burst(at_s=2.0, for_s=2.0, ramp_s=0.0)]
    factors = {
        at_s: burst_factor(bursts, at_s * 1000)
        for at_s in (0.9, 1.0, 1.25, 1.5, 1.9, 2.0, 2.75, 3.0, 3.9, 4.0)
    }
    assert list(factors.values()) == [1.0, 1.0, 2.0, 3.0, 3.0, 6.0, 4.0, 2.0, 2.0, 1.0]
    assert burst_factor([m.Burst(for_s=1.0, factor=3.0, ramp_s=9.0)], 500.0) == 3.0
