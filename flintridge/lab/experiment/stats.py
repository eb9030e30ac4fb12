"""The figures of results, and what can be said of a paired difference."""

import math
from collections.abc import Callable, Sequence

import msgspec
import numpy as np

from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Expect

RESAMPLES = 10_000
BLOCK = 1_000  # resamples drawn at once: bounds the memory that many seeds would take
FEW = 4  # pairs below which no interval says anything: of 3, all lie on one side by chance 1 time in 4
SEED = 20_061  # of the bootstrap: the same runs always give the same interval


class Figure(msgspec.Struct, frozen=True):
    """A figure of a result: its name, its unit, and whether more of it is better."""

    name: str
    unit: str
    more_is_better: bool
    of: Callable[[Result], float]


FIGURES = (
    Figure("goodput", "", True, lambda r: r.goodput),
    Figure("goal", "", True, lambda r: r.goal),
    Figure("p50", "ms", False, lambda r: r.latency_ms.p50),
    Figure("p99", "ms", False, lambda r: r.latency_ms.p99),
    Figure("p999", "ms", False, lambda r: r.latency_ms.p999),
    Figure("attempts_per_request", "", False, lambda r: r.attempts_per_request),
    Figure("origin_per_request", "", False, lambda r: r.origin_per_request),
)


class Difference(msgspec.Struct, kw_only=True, frozen=True):
    """B against A in one figure over the same seeds: `low` to `high` holds the mean difference with 95%."""

    name: str
    unit: str = ""
    more_is_better: bool = True
    a: float
    b: float
    mean: float
    low: float
    high: float
    pairs: int
    sign_p: float  # of the sign test, two-sided: how often chance alone is at least as one-sided

    @property
    def verdict(self) -> str:
        """`better`, `worse`, `even` where the interval holds 0, or `unsure` of too few pairs."""
        if self.low <= 0 <= self.high:
            return "even"
        if self.pairs < FEW:
            return "unsure"
        return "better" if (self.mean > 0) == self.more_is_better else "worse"


def bootstrap(differences: Sequence[float], *, share: float = 0.95) -> tuple[float, float]:
    """The percentile interval of the mean over 10,000 resamples; (0, 0) of nothing."""
    if not differences:
        return 0.0, 0.0
    values = np.asarray(differences, dtype=float)
    random = np.random.default_rng(SEED)
    means = np.concatenate(
        [
            values[random.integers(0, len(values), (BLOCK, len(values)))].mean(axis=1)
            for _ in range(RESAMPLES // BLOCK)
        ]
    )
    low, high = np.percentile(means, [50 * (1 - share), 50 * (1 + share)])
    return float(low), float(high)


def sign_test(differences: Sequence[float]) -> float:
    """Two-sided p of as many signs one way, if both were as likely; ties say nothing; 1 of nothing."""
    up = sum(d > 0 for d in differences)
    counted = up + sum(d < 0 for d in differences)
    tail = sum(math.comb(counted, k) for k in range(min(up, counted - up) + 1))
    both: float = 2 * tail / 2**counted
    return min(1.0, both)


def difference(figure: Figure, a: Sequence[Result], b: Sequence[Result]) -> Difference:
    """Of results paired by their place."""
    of_a, of_b = [figure.of(r) for r in a], [figure.of(r) for r in b]
    pairs = [y - x for x, y in zip(of_a, of_b, strict=True)]
    low, high = bootstrap(pairs)
    return Difference(
        name=figure.name,
        unit=figure.unit,
        more_is_better=figure.more_is_better,
        a=mean(of_a),
        b=mean(of_b),
        mean=mean(pairs),
        low=low,
        high=high,
        pairs=len(pairs),
        sign_p=sign_test(pairs),
    )


def mean(values: Sequence[float]) -> float:
    """0 of nothing."""
    return math.fsum(values) / len(values) if values else 0.0


def rule_totals(results: Sequence[Result]) -> dict[str, int]:
    """Breaches by rule over all results, every rule that any of them knows, by name."""
    names = sorted({name for result in results for name in result.rules})
    return {name: sum(result.rules.get(name, 0) for result in results) for name in names}


def faults_of(result: Result, expect: Expect) -> list[str]:
    """Why this run is not sound, a line each: rules broken that were not expected to be, unmet
    expectations, an early end."""
    lines = [
        f"rule {name} broken {count} time{'s' * (count > 1)}"
        for name, count in sorted(result.rules.items())
        if count and name not in expect.breaks
    ]
    unmet = []
    if expect.goodput_at_least is not None and result.goodput < expect.goodput_at_least:
        unmet.append(f"goodput {result.goodput:.4f} is below {expect.goodput_at_least:g}")
    unmet += [
        f"rule {name} was expected to break and held" for name in expect.breaks if not result.rules.get(name)
    ]
    if result.end_reason != "whole":
        lines.append(f"cut short: {result.end_reason}")
    return lines + unmet
