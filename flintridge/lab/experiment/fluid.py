"""A fluid model of a scenario: it estimates the highest fraction of requests that could be served.

The estimates are accurate to a few percent. They scale random scenarios and rank runs; no rule depends on
them.
"""

from typing import Any

import msgspec
import numpy as np

from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

# The hit fraction relative to one shared cache: while the server of a key is full, its requests go to others.
SHARED_HIT_FRACTION = 0.8


def span_mean(span: model.Span) -> float:
    """Return the midpoint of a `Span`."""
    return sum(span) / len(span) if isinstance(span, tuple) else float(span)


class Flows(msgspec.Struct, kw_only=True, frozen=True):
    """The mean resource use of a request over all classes, and the capacity of the fleet and the origin.

    Attributes:
        hit_fraction: The fraction of reads that hit a cache server.
        write_fraction: The fraction of requests that are writes.
        cache_work_ms: The mean work of a request at cache servers, in milliseconds.
        cache_capacity_ms_per_s: The capacity of all cache servers when warm, in milliseconds of work per
            second.
        origin_use_ms: The mean time for which a request occupies an origin slot, in milliseconds.
        origin_capacity_ms_per_s: The capacity of the origin, in milliseconds of slot time per second.
        rate_per_s: The number of first attempts per second.
    """

    hit_fraction: float
    write_fraction: float
    cache_work_ms: float
    cache_capacity_ms_per_s: float
    origin_use_ms: float
    origin_capacity_ms_per_s: float
    rate_per_s: float

    @property
    def cache_load(self) -> float:
        """Return the load on the cache servers; 1 means fully used."""
        return (
            self.rate_per_s * self.cache_work_ms / self.cache_capacity_ms_per_s
            if self.cache_capacity_ms_per_s
            else float("inf")
        )

    @property
    def origin_load(self) -> float:
        """Return the load on the origin; 1 means fully used."""
        return self.rate_per_s * self.origin_use_ms / self.origin_capacity_ms_per_s

    @property
    def load(self) -> float:
        """Return the load on the bottleneck; if it is above 1, some requests cannot be served."""
        return max(self.cache_load, self.origin_load)

    @property
    def bound(self) -> float:
        """Return the upper bound of the fraction of requests that can be served.

        It is the lower of two bounds: the fraction that the cache servers can process, and all requests less
        those that need the origin and exceed its capacity.
        """
        origin_served = 1 / max(1.0, self.origin_load)
        return min(1 / max(1.0, self.cache_load), 1 - self.origin_fraction * (1 - origin_served))

    @property
    def origin_fraction(self) -> float:
        """Return the fraction of requests that need the origin."""
        return self.write_fraction + (1 - self.write_fraction) * (1 - self.hit_fraction)


def popularity(keys: model.Keys) -> "np.ndarray[Any, np.dtype[np.float64]]":
    """Return the fraction of requests that each key gets, the most popular key first."""
    weights: np.ndarray[Any, np.dtype[np.float64]] = (
        np.arange(1, keys.count + 1, dtype=np.float64) + keys.offset
    ) ** -keys.zipf
    weights /= weights.sum()
    return weights


def hit_fraction(scenario: Scenario) -> float:
    """Estimate the fraction of reads that hit a cache about half-way through a run.

    A read hits if its key is among the most popular keys that fit into the memory of all servers, was
    requested before, and its copy is still valid (not expired, not written, not changed at the origin).
    """
    keys = scenario.keys
    kinds = {kind.name: kind for kind in scenario.kinds}
    memory_bytes = sum(group.count * kinds[group.kind].memory_mb for group in scenario.servers) * 1e6
    key_fractions = popularity(keys)
    fitting_keys = int(min(keys.count, memory_bytes / max(1.0, span_mean(keys.size_bytes))))
    request_count = scenario.load.rate_per_s * (scenario.warmup_s + scenario.length_s / 2)
    requested_fraction = 1 - np.exp(-key_fractions * request_count)
    write_weight = sum(cls.share for cls in scenario.classes if cls.write)
    write_fraction = write_weight / sum(cls.share for cls in scenario.classes)
    # The reads per second of each key, and the events per second that invalidate its copy.
    reads = key_fractions * scenario.load.rate_per_s * (1 - write_fraction)
    invalidations = key_fractions * scenario.load.rate_per_s * write_fraction + keys.change_per_s / keys.count
    if keys.ttl_s:
        invalidations = invalidations + 1 / keys.ttl_s
    valid = reads / (reads + invalidations) if write_fraction < 1 else np.zeros(keys.count)
    return SHARED_HIT_FRACTION * float((key_fractions * requested_fraction * valid)[:fitting_keys].sum())


def flows(scenario: Scenario) -> Flows:
    """Return the mean resource use over all request classes, and the capacity of the warm fleet."""
    kinds = {kind.name: kind for kind in scenario.kinds}
    hit = hit_fraction(scenario)
    origin = scenario.origin
    total_weight = sum(cls.share for cls in scenario.classes)
    cache_work_ms = 0.0
    origin_use_ms = 0.0
    write_fraction = 0.0
    servers = sum(group.count for group in scenario.servers) or 1
    miss_work = sum(group.count * kinds[group.kind].miss_work for group in scenario.servers) / servers
    for cls in scenario.classes:
        fraction = cls.share / total_weight
        if cls.write:
            write_fraction += fraction
            origin_use_ms += fraction * span_mean(origin.read_ms) * origin.write_times
        else:
            cache_work_ms += fraction * span_mean(cls.work_ms) * (hit + (1 - hit) * miss_work)
            origin_use_ms += fraction * (1 - hit) * span_mean(origin.read_ms)
    speeds = (
        group.count * kinds[group.kind].cores * span_mean(kinds[group.kind].speed)
        for group in scenario.servers
    )
    return Flows(
        hit_fraction=hit,
        write_fraction=write_fraction,
        cache_work_ms=cache_work_ms,
        cache_capacity_ms_per_s=1000 * sum(speeds),
        origin_use_ms=origin_use_ms,
        origin_capacity_ms_per_s=1000.0 * origin.slots,
        rate_per_s=scenario.load.rate_per_s,
    )
