"""Random draws that the models share; the caller passes the generator or the text to hash."""

import hashlib
import math
import random
from statistics import NormalDist

from flintridge.lab.scenario.model import Span

_NORMAL = NormalDist()
_UNIT = 1.0 / 2.0**64


def draw(rng: random.Random, span: Span) -> float:
    """Return a number unchanged, or draw uniformly between the two ends of a range."""
    if isinstance(span, tuple):
        return rng.uniform(span[0], span[1])
    return float(span)


def lognormal(rng: random.Random, sigma: float) -> float:
    """Draw from a lognormal distribution of mean 1; `sigma` is the standard deviation of the logarithm."""
    return math.exp(rng.gauss(0.0, sigma) - sigma * sigma / 2)


def lognormal_by_cv(rng: random.Random, cv: float) -> float:
    """Draw from a lognormal distribution of mean 1 with this coefficient of variation."""
    return lognormal(rng, math.sqrt(math.log1p(cv * cv)))


def hash_fraction(text: str) -> float:
    """Hash a text to a number from 0 to 1, which is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") * _UNIT


def hash_normal(text: str) -> float:
    """Hash a text to a standard normal deviate, which is the same in every process."""
    return _NORMAL.inv_cdf(min(max(hash_fraction(text), 1e-12), 1 - 1e-12))
