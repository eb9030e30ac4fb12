"""Arrival times: the rate, its shape and its bursts."""

import pytest

from flintridge.lab.load.arrivals import PoissonArrivals, Slot, step_of
from flintridge.lab.scenario import model
from flintridge.lab.seeds import Seeds


def slots(
    load: model.Load, factor, seed: int = 1, start_ms: float = -1000, end_ms: float = 20_000
) -> list[Slot]:
    arrivals = PoissonArrivals(load, Seeds(seed), start_ms, end_ms)
    return [s for n in range(step_of(start_ms), step_of(end_ms) + 1) for s in arrivals.step(n, factor)]


@pytest.mark.parametrize("shape", ["flat", "wave", "bursty"])
def test_arrivals_when_the_rate_changes_for_a_while_then_others_keep_their_times(shape):
    load = model.Load(rate_per_s=100, shape=shape, swing=0.5, period_s=4)
    plain = slots(load, lambda t: 1.0)
    burst = slots(load, lambda t: 3.5 if 5000 <= t < 6100 else 1.0)
    trough = slots(load, lambda t: 0.3 if t >= 5000 else 1.0)
    assert plain == sorted(plain) == slots(load, lambda t: 1.0) != slots(load, lambda t: 1.0, seed=2)
    assert [s for s in burst if s.layer == 0] == plain
    assert all(5000 <= s.at_ms < 6100 for s in burst if s.layer)
    assert set(trough) < set(plain)
    assert [s for s in trough if s.at_ms < 5000] == [s for s in plain if s.at_ms < 5000]
    assert plain[0].at_ms >= -1000 and plain[-1].at_ms < 20_000
    assert 1750 < len(plain) < 2450
    more = sum(5000 <= s.at_ms < 6100 for s in burst) / sum(5000 <= s.at_ms < 6100 for s in plain)
    assert 2.6 < more < 4.6
