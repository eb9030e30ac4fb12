"""The contents of requests: class, tenant, key, work, size and zone, generated at each arrival."""

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
    """A request as it was generated; also one line of a trace.

    Attributes:
        scheduled_ms: When its first attempt is scheduled.
        class_name: The name of its request class.
        tenant: The name of its tenant; empty if the scenario has no tenants.
        key: The key that it reads or writes.
        write: Whether it is a write.
        work_ms: The work that it costs, in ms on a core of speed 1.
        size: The size of the key's value in bytes.
        zone: The zone whose load balancer it arrives at.
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
    """A choice among several options by weight."""

    def __init__(self, weights: Sequence[float]) -> None:
        self._cumulative_weights = list(itertools.accumulate(weights))

    def at(self, fraction: float) -> int:
        """Return the index of the option at this fraction (0 to 1) of the total weight."""
        index = bisect_right(self._cumulative_weights, fraction * self._cumulative_weights[-1])
        return min(index, len(self._cumulative_weights) - 1)


def zone_weights(zones: Sequence[str], node_zones: Sequence[str], skew: float) -> list[float]:
    """Return the fraction of the traffic of each zone.

    The traffic is even over the nodes, but the first zone's fraction is larger by `skew`, at the cost of the
    others. If no node is in any of the zones, the zones are weighted equally before the skew.
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
    """Generates the request of each slot from the slot's own random stream, so that slots are independent."""

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
            scenario: Provides classes, tenants, zones and load.
            seeds: Random generators by name.
            keys: The keys and their popularity.
            size_of: Returns the size in bytes of a key's value.
            node_zones: The zone of each node.
        """
        self._keys = keys
        self._size_of = size_of
        self._classes = scenario.classes
        self._class_choice = WeightedChoice([c.share for c in scenario.classes])
        self._mean_work_ms = [draw(seeds.of(f"load/work/{c.name}"), c.work_ms) for c in scenario.classes]
        # Standard deviation of the work's logarithm: unused by an exponential spread, 0 without a spread.
        variations = [c.cv if c.spread == "lognormal" else 0.0 for c in scenario.classes]
        self._sigmas = [math.sqrt(math.log1p(cv * cv)) for cv in variations]
        self._tenants = scenario.tenants
        offered = [t.share * t.usage for t in scenario.tenants]
        self._tenant_choice = WeightedChoice(offered if sum(offered) else [1.0] * max(1, len(offered)))
        self._zones = scenario.zones
        weights = zone_weights(scenario.zones, node_zones, scenario.load.zone_skew)
        self._zone_choice = WeightedChoice(weights)

    def generate(self, slot: Slot, rng: random.Random) -> GeneratedRequest:
        """Return the request of a slot.

        Args:
            slot: The arrival. Slots must come in order of time, because the popularity of keys drifts.
            rng: The slot's random generator.
        """
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
        """Draw the factor of a single request's work, with mean 1."""
        if self._classes[index].spread == "exponential":
            return rng.expovariate(1.0)
        sigma = self._sigmas[index]
        return lognormal(rng, sigma) if sigma else 1.0
