"""Draws of single values, shared by what draws scenarios."""

import math
import random


def log_uniform(generator: random.Random, low: float, high: float) -> float:
    """Draw uniformly over ratios."""
    return math.exp(generator.uniform(math.log(low), math.log(high)))


def sometimes(generator: random.Random, chance: float, low: float, high: float) -> float:
    """Draw from the range with this probability, 0 otherwise."""
    drawn = generator.random() < chance
    value = generator.uniform(low, high)  # drawn in either case: the draws that follow stay the same
    return round(value, 3) if drawn else 0.0


def span_around(generator: random.Random, value: float, deviation: float) -> tuple[float, float]:
    """Draw a Span around a value, its ends at most the fraction `deviation` away from it."""
    low = round(value * (1 - generator.uniform(0, deviation)), 3)
    high = round(value * (1 + generator.uniform(0, deviation)), 3)
    return low, high
