"""Draws that the models share, each from a generator that the caller names."""

import hashlib
import math
import random
from statistics import NormalDist

from flintridge.lab.scenario.model import Span

_NORMAL = NormalDist()
_UNIT = 1.0 / 2.0**64


def draw(rng: random.Random, span: Span) -> float:
    """A number as it is, or one drawn evenly between the two ends."""
    if isinstance(span, tuple):
        return rng.uniform(span[0], span[1])
    return float(span)


def lognormal(rng: random.Random, sigma: float) -> float:
    """A lognormal draw of mean 1; `sigma` is the standard deviation of its logarithm."""
    return math.exp(rng.gauss(0.0, sigma) - sigma * sigma / 2)


def scatter(rng: random.Random, cv: float) -> float:
    """A lognormal draw of mean 1 with this coefficient of variation."""
    return lognormal(rng, math.sqrt(math.log1p(cv * cv)))


def hash_fraction(text: str) -> float:
    """A number from 0 to 1 that belongs to this text in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") * _UNIT


def hash_normal(text: str) -> float:
    """A draw of the normal distribution that belongs to this text in every process."""
    return _NORMAL.inv_cdf(min(max(hash_fraction(text), 1e-12), 1 - 1e-12))
