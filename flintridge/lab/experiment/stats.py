"""The metrics of results, and what can be said of a paired difference."""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
import numpy as np

from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Expect

RESAMPLES = 10_000
RESAMPLES_PER_BLOCK = 1_000  # resamples drawn at once: bounds the memory that many seeds would take
MIN_PAIRS = 4  # of 3, all lie on one side by chance 1 time in 4: no interval says anything
BOOTSTRAP_SEED = 20_061  # fixed: the same runs always give the same interval


class Metric(msgspec.Struct, frozen=True):
    """A metric of a result.

    Attributes:
        name: As `--json` and tables print it.
        unit: The unit, empty where it has none.
        more_is_better: Whether a greater value is the better one.
        of: Reads the metric from a result.
    """

    name: str
    unit: str
    more_is_better: bool
    of: Callable[[Result], float]


METRICS = (
    Metric("goodput", "", True, lambda r: r.goodput),
    Metric("goal", "", True, lambda r: r.goal),
    Metric("p50", "ms", False, lambda r: r.latency_ms.p50),
    Metric("p99", "ms", False, lambda r: r.latency_ms.p99),
    Metric("p999", "ms", False, lambda r: r.latency_ms.p999),
    Metric("attempts_per_request", "", False, lambda r: r.attempts_per_request),
    Metric("origin_per_request", "", False, lambda r: r.origin_per_request),
)


class Difference(msgspec.Struct, kw_only=True, frozen=True):
    """B against A in one metric over the same seeds.

    Attributes:
        name: The metric's name.
        unit: Its unit, empty where it has none.
        more_is_better: Whether a greater value is the better one.
        a: The mean of A.
        b: The mean of B.
        mean: The mean of the paired differences B - A.
        low: The lower end of the 95% interval of `mean`.
        high: The upper end of it.
        pairs: The number of pairs.
        sign_p: p of the two-sided sign test: how often chance alone is at least as one-sided.
    """

    name: str
    unit: str = ""
    more_is_better: bool = True
    a: float
    b: float
    mean: float
    low: float
    high: float
    pairs: int
    sign_p: float

    @property
    def verdict(self) -> str:
        """Return `better`, `worse`, `even` where the interval holds 0, or `unsure` of too few pairs."""
        if self.low <= 0 <= self.high:
            return "even"
        if self.pairs < MIN_PAIRS:
            return "unsure"
        return "better" if (self.mean > 0) == self.more_is_better else "worse"


class Interval(NamedTuple):
    """The two ends of a confidence interval."""

    low: float
    high: float


def bootstrap(differences: Sequence[float], *, confidence: float = 0.95) -> Interval:
    """Return the percentile interval of the mean over 10,000 resamples.

    Args:
        differences: The values; the interval of none is (0, 0).
        confidence: How often the interval holds the mean, a fraction.
    """
    if not differences:
        return Interval(0.0, 0.0)
    values = np.asarray(differences, dtype=float)
    random = np.random.default_rng(BOOTSTRAP_SEED)
    means = np.concatenate(
        [
            values[random.integers(0, len(values), (RESAMPLES_PER_BLOCK, len(values)))].mean(axis=1)
            for _ in range(RESAMPLES // RESAMPLES_PER_BLOCK)
        ]
    )
    low, high = np.percentile(means, [50 * (1 - confidence), 50 * (1 + confidence)])
    return Interval(float(low), float(high))


def sign_test(differences: Sequence[float]) -> float:
    """Return the two-sided p of the sign test: ties are left out, and no difference gives 1."""
    up = sum(d > 0 for d in differences)
    counted = up + sum(d < 0 for d in differences)
    tail = sum(math.comb(counted, k) for k in range(min(up, counted - up) + 1))
    p_value: float = 2 * tail / 2**counted
    return min(1.0, p_value)


def difference(metric: Metric, a: Sequence[Result], b: Sequence[Result]) -> Difference:
    """Return B against A in one metric; the results at the same index are a pair."""
    of_a = [metric.of(result) for result in a]
    of_b = [metric.of(result) for result in b]
    differences = [y - x for x, y in zip(of_a, of_b, strict=True)]
    interval = bootstrap(differences)
    return Difference(
        name=metric.name,
        unit=metric.unit,
        more_is_better=metric.more_is_better,
        a=mean(of_a),
        b=mean(of_b),
        mean=mean(differences),
        low=interval.low,
        high=interval.high,
        pairs=len(differences),
        sign_p=sign_test(differences),
    )


def mean(values: Sequence[float]) -> float:
    """Return the arithmetic mean, 0 of no values."""
    return math.fsum(values) / len(values) if values else 0.0


def rule_totals(results: Sequence[Result]) -> dict[str, int]:
    """Return the violations over all results of every rule that any of them knows, by name."""
    names = sorted({name for result in results for name in result.rules})
    return {name: sum(result.rules.get(name, 0) for result in results) for name in names}


def unsound_reasons(result: Result, expect: Expect) -> list[str]:
    """Return why a run is not sound, one line for each reason.

    Args:
        result: The run's result.
        expect: What its scenario expects of it.

    Returns:
        Rules that were broken unexpectedly, an early end, and expectations that were not met.
    """
    lines = []
    for name, count in sorted(result.rules.items()):
        if count and name not in expect.breaks:
            times = "time" if count == 1 else "times"
            lines.append(f"rule {name} broken {count} {times}")
    unmet = []
    if expect.goodput_at_least is not None and result.goodput < expect.goodput_at_least:
        unmet.append(f"goodput {result.goodput:.4f} is below {expect.goodput_at_least:g}")
    unmet += [
        f"rule {name} was expected to break and held" for name in expect.breaks if not result.rules.get(name)
    ]
    if result.end_reason != "whole":
        lines.append(f"cut short: {result.end_reason}")
    return lines + unmet
