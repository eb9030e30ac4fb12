"""What a request is about: class, tenant, key, work, size and zone, generated at each arrival."""

import itertools
import math
import random
from bisect import bisect_right
from collections.abc import Callable, Sequence

import msgspec

from flintridge.lab.load.arrivals import Slot
from flintridge.lab.load.keys import Keys
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw, lognormal


class GeneratedRequest(msgspec.Struct, gc=False, frozen=True, forbid_unknown_fields=True):
    """A first attempt, as it was generated; also one line of a trace.

    Attributes:
        scheduled_ms: When it is due.
        class_name: Its request class.
        tenant: Its tenant; empty without tenants.
        key: Its key.
        write: Whether it is a write.
        work_ms: On a core of speed 1.
        size: Bytes of the key's value.
        zone: Of the load balancer that it goes to.
    """

    scheduled_ms: float = msgspec.field(name="due_ms")
    class_name: str = msgspec.field(name="cls")
    tenant: str
    key: str
    write: bool
    work_ms: float
    size: int
    zone: str


class WeightedChoice:
    """One of several by weight, from a number between 0 and 1."""

    def __init__(self, weights: Sequence[float]) -> None:
        self._cumulative_weights = list(itertools.accumulate(weights))

    def at(self, fraction: float) -> int:
        """The index of the choice at this fraction of all weight."""
        index = bisect_right(self._cumulative_weights, fraction * self._cumulative_weights[-1])
        return min(index, len(self._cumulative_weights) - 1)


def zone_weights(zones: Sequence[str], node_zones: Sequence[str], skew: float) -> list[float]:
    """Fractions of the traffic by zone.

    Even over the nodes, the first zone's larger by `skew` at the others' cost. Where no node has a zone of
    these, the zones get equal fractions.
    """
    counts = [float(node_zones.count(zone)) for zone in zones]
    if not sum(counts):
        counts = [1.0] * len(zones)
    total = sum(counts)
    first = min(1.0, counts[0] / total + skew)
    rest = total - counts[0]
    if not rest:
        return [1.0] + [0.0] * (len(zones) - 1)
    return [first, *((1 - first) * count / rest for count in counts[1:])]


class RequestGenerator:
    """Generates the request of a slot from the slot's own stream, so that none moves another's numbers."""

    def __init__(
        self,
        scenario: Scenario,
        seeds: Seeds,
        keys: Keys,
        size_of: Callable[[str], int],
        node_zones: Sequence[str],
    ) -> None:
        """Create a generator.

        Args:
            scenario: Classes, tenants, zones and load.
            seeds: Random generators by name.
            keys: Which keys are popular.
            size_of: The bytes of a key's value.
            node_zones: The zone of each node.
        """
        self._keys = keys
        self._size_of = size_of
        self._classes = scenario.classes
        self._class_choice = WeightedChoice([c.share for c in scenario.classes])
        self._mean_work_ms = [draw(seeds.of(f"load/work/{c.name}"), c.work_ms) for c in scenario.classes]
        # Of the work's logarithm: not used by an exponential spread, and 0 without any.
        variations = [c.cv if c.spread == "lognormal" else 0.0 for c in scenario.classes]
        self._sigmas = [math.sqrt(math.log1p(cv * cv)) for cv in variations]
        self._tenants = scenario.tenants
        offered = [t.share * t.usage for t in scenario.tenants]
        self._tenant_choice = WeightedChoice(offered if sum(offered) else [1.0] * max(1, len(offered)))
        self._zones = scenario.zones
        weights = zone_weights(scenario.zones, node_zones, scenario.load.zone_skew)
        self._zone_choice = WeightedChoice(weights)

    def generate(self, slot: Slot, rng: random.Random) -> GeneratedRequest:
        """The request of this slot; `rng` is its stream. Slots must come in order of time (keys drift)."""
        index = self._class_choice.at(rng.random())
        request_class = self._classes[index]
        tenant_fraction = rng.random()
        zone_fraction = rng.random()
        tenant = self._tenants[self._tenant_choice.at(tenant_fraction)] if self._tenants else None
        key = self._keys.sample(rng.random(), slot.at_ms)
        if rng.random() < self._keys.hot_fraction and not request_class.write:
            key = self._keys.hot
        zone = "" if tenant is None else tenant.zone
        return GeneratedRequest(
            scheduled_ms=slot.at_ms,
            class_name=request_class.name,
            tenant="" if tenant is None else tenant.name,
            key=key,
            write=request_class.write,
            work_ms=self._mean_work_ms[index] * self._work_factor(index, rng),
            size=self._size_of(key),
            zone=zone or self._zones[self._zone_choice.at(zone_fraction)],
        )

    def _work_factor(self, index: int, rng: random.Random) -> float:
        """Of a single request's work, with mean 1."""
        if self._classes[index].spread == "exponential":
            return rng.expovariate(1.0)
        sigma = self._sigmas[index]
        return lognormal(rng, sigma) if sigma else 1.0
