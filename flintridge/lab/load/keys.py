"""The keys of requests: their popularity is uneven and drifts, and one key may be hot for a time."""

import itertools
from array import array
from bisect import bisect_right

from flintridge.lab.scenario import model
from flintridge.lab.seeds import Seeds

# Multiplication by an odd number is a bijection modulo a power of two, so no two keys have the same name.
_ODD_MULTIPLIER = 0x9E3779B1
_SALT_BITS = 24
_NAME_BITS = 24
_SHORT_NAME_BITS = 16


class Keys:
    """Keys by Zipf's law: the key of rank r (from 1) has the weight 1 / (r + offset) ** zipf.

    Attributes:
        hot: The hot key, which gets a fraction of the reads; empty if no key is hot.
        hot_fraction: That fraction; 0 if no key is hot.
    """

    def __init__(self, spec: model.Keys, seeds: Seeds, start_ms: float = 0.0) -> None:
        """Create keys whose popularity drifts from `start_ms` on."""
        weights = ((rank + spec.offset) ** -spec.zipf for rank in range(1, spec.count + 1))
        # An array, because a list of ten million float objects would take a third of a gigabyte.
        self._cumulative_weights = array("d", itertools.accumulate(weights))
        self._key_at_rank = array("I", range(spec.count))
        self._name_bits = _SHORT_NAME_BITS if spec.count <= 1 << _SHORT_NAME_BITS else _NAME_BITS
        self._salt = seeds.of("load/keys").getrandbits(_SALT_BITS)
        self._drift_rng = seeds.of("load/drift")
        self._drift_per_ms = spec.drift_per_s / 1000
        self._next_drift_ms = float("inf")
        if self._drift_per_ms:
            self._next_drift_ms = start_ms + self._drift_rng.expovariate(self._drift_per_ms)
        self._hot_rng = seeds.of("load/hot")
        self.hot = ""
        self.hot_fraction = 0.0

    def name(self, index: int) -> str:
        """Return a key's name, which does not show how popular the key is."""
        number = ((index + self._salt) * _ODD_MULTIPLIER) & ((1 << self._name_bits) - 1)
        return f"menu:{number:0{self._name_bits // 4}x}"

    def sample(self, fraction: float, at_ms: float) -> str:
        """Return the key at a quantile of popularity.

        Args:
            fraction: The quantile: at least 0 and less than 1.
            at_ms: The time of the run; never earlier than in the last call.
        """
        if at_ms >= self._next_drift_ms:
            self._drift_until(at_ms)
        rank = bisect_right(self._cumulative_weights, fraction * self._cumulative_weights[-1])
        return self.name(self._key_at_rank[min(rank, len(self._key_at_rank) - 1)])

    def set_hot_key(self, fraction: float) -> str:
        """Make one key of the less popular half get this fraction of the reads; return its name."""
        count = len(self._key_at_rank)
        self.hot = self.name(self._key_at_rank[self._hot_rng.randrange(count // 2, count)])
        self.hot_fraction = fraction
        return self.hot

    def clear_hot_key(self) -> None:
        """Make no key hot any more."""
        self.hot = ""
        self.hot_fraction = 0.0

    def _drift_until(self, at_ms: float) -> None:
        """Swap the ranks of keys chosen by weight with those of any other keys."""
        rng = self._drift_rng
        keys = self._key_at_rank
        weights = self._cumulative_weights
        while self._next_drift_ms <= at_ms:
            popular = min(bisect_right(weights, rng.random() * weights[-1]), len(keys) - 1)
            replacement = rng.randrange(len(keys))
            displaced = keys[popular]
            keys[popular] = keys[replacement]
            keys[replacement] = displaced
            self._next_drift_ms += rng.expovariate(self._drift_per_ms)
