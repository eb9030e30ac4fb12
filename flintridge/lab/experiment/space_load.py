"""Draws random request classes, tenants, keys, arrivals, clients and limits."""

from random import Random
from typing import Any

from flintridge.lab.experiment.random_values import log_uniform, sometimes, span_around
from flintridge.lab.scenario import model


def draw_classes(generator: Random) -> tuple[model.RequestClass, ...]:
    """Draw one or two read classes and up to two write classes.

    Their work is relative to the mean; `_scaled` in `space.py` converts it to milliseconds.
    """
    classes = [_class(generator, "read", 1.0, write=False)]
    if generator.random() < 0.3:
        classes.append(_class(generator, "page", generator.uniform(0.1, 0.6), write=False))
    if generator.random() < 0.7:
        classes.append(_class(generator, "put", generator.uniform(0.02, 0.25), write=True, effect="keyed"))
    if generator.random() < 0.4:
        classes.append(_class(generator, "pay", generator.uniform(0.01, 0.15), write=True, effect="unsafe"))
    return tuple(classes)


def _class(
    generator: Random, name: str, share: float, *, write: bool, effect: Any = "safe"
) -> model.RequestClass:
    """Draw a class; until scaled, the objective is a multiple of the work, the deadline of the objective."""
    return model.RequestClass(
        name=name,
        share=round(share, 3),
        work_ms=round(log_uniform(generator, 0.4, 2.5), 3),
        spread=generator.choice(("none", "exponential", "lognormal", "lognormal")),
        cv=round(generator.uniform(0.3, 1.5), 2),
        latency_objective_ms=generator.uniform(5, 14),
        deadline_ms=generator.uniform(1.6, 3),
        priority_weight=generator.choice((1.0, 1.0, 2.0, 3.0)),
        late_weight_fraction=round(generator.uniform(0.1, 0.6), 2),
        effect=effect,
        write=write,
    )


def draw_tenants(generator: Random, rate: float) -> tuple[model.Tenant, ...]:
    """Draw no tenants, or two or three, with or without quotas in proportion to `rate` (per second)."""
    if generator.random() < 0.6:
        return ()
    names = ("acme", "birch", "cedar")[: generator.randint(2, 3)]
    weights = [round(generator.uniform(0.2, 1), 2) for _ in names]
    has_quotas = generator.random() < 0.5
    return tuple(
        model.Tenant(
            name=name,
            share=weight,
            usage=generator.choice((1.0, 1.0, 0.5, 2.0)),
            quota_per_s=round(1.1 * rate * weight / sum(weights), 1) if has_quotas else 0.0,
        )
        for name, weight in zip(names, weights, strict=True)
    )


def draw_keys(generator: Random) -> model.Keys:
    """Draw the keys, their popularity, sizes and lifetime."""
    return model.Keys(
        count=round(log_uniform(generator, 200, 10_000)),
        zipf=round(generator.uniform(0.75, 1.2), 2),
        offset=round(generator.uniform(1, 20), 1),
        drift_per_s=sometimes(generator, 0.4, 0.1, 3),
        size_bytes=round(log_uniform(generator, 100, 4000)),
        size_sigma=round(generator.uniform(0.1, 1), 2),
        change_per_s=sometimes(generator, 0.4, 0.1, 5),
        ttl_s=generator.choice((0.0, 0.0, 0.0, 20.0, 40.0)),
    )


def draw_load(generator: Random, rate: float, zones: int) -> model.Load:
    """Draw the arrival pattern of requests at a mean of `rate` requests per second."""
    return model.Load(
        rate_per_s=rate,
        shape=generator.choice(("flat", "flat", "wave", "bursty")),
        swing=round(generator.uniform(0.1, 0.5), 2),
        period_s=round(generator.uniform(4, 20), 1),
        zone_skew=sometimes(generator, 0.3, 0.1, 0.5) if zones > 1 else 0.0,
        hints=generator.choice(("none", "rough", "rough", "exact")),
        tells_size=generator.random() < 0.7,
    )


def draw_clients(generator: Random) -> model.Clients:
    """Draw how clients retry, use connections, leave early and notice failed nodes."""
    return model.Clients(
        retries=generator.randint(0, 4),
        try_share=round(generator.uniform(0.4, 0.9), 2),
        backoff_ms=span_around(generator, log_uniform(generator, 20, 400), 0.3),
        backoff=generator.choice(("none", "fixed", "jitter")),
        honour=round(generator.uniform(0, 1), 2),
        marks_retry=generator.random() < 0.7,
        leave_early=sometimes(generator, 0.3, 0.01, 0.1),
        idle_s=generator.choice((1.0, 3.0, 10.0)),
        pools=generator.choice((1, 4, 8, 16)),
        once=sometimes(generator, 0.25, 0.02, 0.2),
        pipeline=generator.choice((1, 1, 1, 4, 16)),
        notice_s=span_around(generator, generator.uniform(0.3, 2), 0.3),
    )


def draw_limits(generator: Random) -> model.Limits:
    """Draw the limits that nodes are configured with."""
    return model.Limits(
        max_attempts=generator.randint(3, 8),
        hedged_requests=generator.random() < 0.7,
        cancel=generator.random() < 0.8,
        health_checks=generator.random() < 0.3,
        max_open=generator.choice((500, 20_000)),
    )
