"""Keys: popularity, drift and the hot key."""

from collections import Counter

import pytest

from flintridge.lab.load.keys import Keys
from flintridge.lab.scenario import model
from flintridge.lab.seeds import Seeds


def test_keys_when_sampled_then_are_uneven_distinct_and_drift():
    spec = model.Keys(count=70_000, zipf=1.0, offset=0.0, drift_per_s=50)
    keys = Keys(spec, Seeds(1))
    assert len({keys.name(i) for i in range(70_000)}) == 70_000
    seen = Counter(keys.sample((i + 0.5) / 20_000, 0.0) for i in range(20_000))
    (_, first), (_, second) = seen.most_common(2)
    assert first / second == pytest.approx(2, rel=0.05) and len(seen) > 5000
    top = keys.sample(0.0, 0.0)
    assert keys.sample(0.0, 120_000.0) != top  # another key has replaced it
    assert keys.sample(1 - 1e-17, 120_000.0)
    hot = keys.set_hot_key(0.5)
    assert keys.hot_fraction == 0.5 and hot != top
    keys.clear_hot_key()
    assert not keys.hot_fraction
