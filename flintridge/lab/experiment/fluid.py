"""What a scenario could serve at best, estimated as flows.

Estimates of a few percent, to scale random scenarios and to rank runs; no rule is checked by them.
"""

from typing import Any

import msgspec
import numpy as np

from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

SHARED_HIT_FRACTION = 0.8  # of one cache's hits, where keys go past full servers to others


def span_mean(span: model.Span) -> float:
    """Return the mean of a Span."""
    return sum(span) / len(span) if isinstance(span, tuple) else float(span)


class Flows(msgspec.Struct, kw_only=True, frozen=True):
    """What a request of the mix needs on average, and what there is of it a second.

    Attributes:
        hit_fraction: Of reads, those that a cache server holds.
        write_fraction: Of requests.
        cache_work_ms: Work of a request at cache servers.
        cache_ms: Work-milliseconds a second of all cache servers when warm.
        origin_use_ms: Use of origin slots by a request.
        origin_ms: Slot-milliseconds a second of the origin.
        rate_per_s: First attempts.
    """

    hit_fraction: float
    write_fraction: float
    cache_work_ms: float
    cache_ms: float
    origin_use_ms: float
    origin_ms: float
    rate_per_s: float

    @property
    def cache_load(self) -> float:
        """Return the load on the cache servers, 1 where they are fully used."""
        return self.rate_per_s * self.cache_work_ms / self.cache_ms if self.cache_ms else float("inf")

    @property
    def origin_load(self) -> float:
        """Return the load on the origin, 1 where it is fully used."""
        return self.rate_per_s * self.origin_use_ms / self.origin_ms

    @property
    def load(self) -> float:
        """Return the load on the bottleneck; above 1 not all requests can be served."""
        return max(self.cache_load, self.origin_load)

    @property
    def bound(self) -> float:
        """Return the fraction of requests that can be served.

        It is what the caches can serve, and of what has to go to the origin no more than it can serve.
        """
        origin_served = 1 / max(1.0, self.origin_load)
        return min(1 / max(1.0, self.cache_load), 1 - self.origin_fraction * (1 - origin_served))

    @property
    def origin_fraction(self) -> float:
        """Return the fraction of requests that need the origin."""
        return self.write_fraction + (1 - self.write_fraction) * (1 - self.hit_fraction)


def popularity(keys: model.Keys) -> "np.ndarray[Any, np.dtype[np.float64]]":
    """Return the fraction of the requests for each key, most popular first."""
    weights: np.ndarray[Any, np.dtype[np.float64]] = (
        np.arange(1, keys.count + 1, dtype=np.float64) + keys.offset
    ) ** -keys.zipf
    weights /= weights.sum()
    return weights


def hit_fraction(scenario: Scenario) -> float:
    """Return the fraction of reads that hit about half-way through a run.

    Counted are keys that fit all memory and were requested before, as far as their copies are still valid by
    then (not expired, written, or changed at the origin).
    """
    keys = scenario.keys
    kinds = {kind.name: kind for kind in scenario.kinds}
    memory_bytes = sum(group.count * kinds[group.kind].memory_mb for group in scenario.servers) * 1e6
    key_fractions = popularity(keys)
    fitting_keys = int(min(keys.count, memory_bytes / max(1.0, span_mean(keys.size_bytes))))
    requested = scenario.load.rate_per_s * (scenario.warmup_s + scenario.length_s / 2)
    seen = 1 - np.exp(-key_fractions * requested)
    write_weight = sum(cls.share for cls in scenario.classes if cls.write)
    write_fraction = write_weight / sum(cls.share for cls in scenario.classes)
    # Reads a second of each key against all that invalidates its copy.
    reads = key_fractions * scenario.load.rate_per_s * (1 - write_fraction)
    invalidations = key_fractions * scenario.load.rate_per_s * write_fraction + keys.change_per_s / keys.count
    if keys.ttl_s:
        invalidations = invalidations + 1 / keys.ttl_s
    valid = reads / (reads + invalidations) if write_fraction < 1 else np.zeros(keys.count)
    return SHARED_HIT_FRACTION * float((key_fractions * seen * valid)[:fitting_keys].sum())


def flows(scenario: Scenario) -> Flows:
    """Return the flows of the mix of classes over the fleet when warm."""
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
        cache_ms=1000 * sum(speeds),
        origin_use_ms=origin_use_ms,
        origin_ms=1000.0 * origin.slots,
        rate_per_s=scenario.load.rate_per_s,
    )
