"""Which key a request is about: uneven popularity that drifts, and at times one hot key."""

import itertools
from array import array
from bisect import bisect_right

from flintridge.lab.scenario import model
from flintridge.lab.seeds import Seeds

_ODD = 0x9E3779B1  # times an odd number is one to one modulo a power of two: no two keys share a name


class Keys:
    """Keys by Zipf's law: the one at place r (from 1) is asked for as often as 1 / (r + offset) ** zipf."""

    def __init__(self, spec: model.Keys, seeds: Seeds, begin: float = 0.0) -> None:
        """Popularity drifts from `begin` (ms) on."""
        weights = ((rank + spec.offset) ** -spec.zipf for rank in range(1, spec.count + 1))
        # An array, not a list: ten million floats as objects would take a third of a gigabyte.
        self._sums = array("d", itertools.accumulate(weights))
        self._at = array("I", range(spec.count))  # the key at each place
        self._bits = 16 if spec.count <= 1 << 16 else 24
        self._salt = seeds.of("load/keys").getrandbits(24)
        self._drift = seeds.of("load/drift")
        self._per_ms = spec.drift_per_s / 1000
        self._next = begin + self._drift.expovariate(self._per_ms) if self._per_ms else float("inf")
        self._hot = seeds.of("load/hot")
        self.hot = ""  # a key that takes a share of the reads, `part`
        self.part = 0.0

    def name(self, index: int) -> str:
        """The key's name, which does not tell how popular it is."""
        number = ((index + self._salt) * _ODD) & ((1 << self._bits) - 1)
        return f"menu:{number:0{self._bits // 4}x}"

    def sample(self, share: float, t: float) -> str:
        """The key at this share (0 to 1, without 1) of all popularity at an instant (ms, never falling)."""
        if t >= self._next:
            self._move_on(t)
        place = bisect_right(self._sums, share * self._sums[-1])
        return self.name(self._at[min(place, len(self._at) - 1)])

    def heat(self, part: float) -> str:
        """One key, drawn among the less popular half, takes this share of the reads; its name."""
        half = len(self._at) // 2
        self.hot = self.name(self._at[self._hot.randrange(half, len(self._at))])
        self.part = part
        return self.hot

    def cool(self) -> None:
        """No key is hot any more."""
        self.hot, self.part = "", 0.0

    def _move_on(self, t: float) -> None:
        """What is asked for much falls out of fashion: any key takes its place, it takes that one's."""
        rng, at = self._drift, self._at
        while self._next <= t:
            old = min(bisect_right(self._sums, rng.random() * self._sums[-1]), len(at) - 1)
            new = rng.randrange(len(at))
            at[old], at[new] = at[new], at[old]
            self._next += rng.expovariate(self._per_ms)
