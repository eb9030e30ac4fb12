"""Random distributions of single values, shared by the modules that draw scenarios."""

import math
import random


def log_uniform(generator: random.Random, low: float, high: float) -> float:
    """Draw from the log-uniform distribution between `low` and `high`."""
    return math.exp(generator.uniform(math.log(low), math.log(high)))


def sometimes(generator: random.Random, probability: float, low: float, high: float) -> float:
    """Draw uniformly between `low` and `high` with the given probability, otherwise return 0."""
    nonzero = generator.random() < probability
    value = generator.uniform(low, high)  # always drawn, so that later draws do not depend on `nonzero`
    return round(value, 3) if nonzero else 0.0


def span_around(generator: random.Random, value: float, deviation: float) -> tuple[float, float]:
    """Draw a `Span` around a value; each end differs from it by at most the fraction `deviation`."""
    low = round(value * (1 - generator.uniform(0, deviation)), 3)
    high = round(value * (1 + generator.uniform(0, deviation)), 3)
    return low, high
