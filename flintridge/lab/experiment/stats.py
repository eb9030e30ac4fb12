"""Metrics of results, and the statistics of paired differences."""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
import numpy as np

from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Expect

RESAMPLES = 10_000
RESAMPLES_PER_BLOCK = 1_000  # drawn together; bounds the memory use with many seeds
MIN_PAIRS = 4  # 3 differences all have the same sign by chance 1 time in 4, so their interval shows nothing
BOOTSTRAP_SEED = 20_061  # fixed, so that the same runs always give the same interval


class Metric(msgspec.Struct, frozen=True):
    """A metric of a result.

    Attributes:
        name: The name that `--json` and tables print.
        unit: The unit; empty for a metric without a unit.
        more_is_better: Whether a higher value is better.
        of: Returns the value of the metric in a result.
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
    """The difference of one metric between B and A over the same seeds.

    Attributes:
        name: The name of the metric.
        unit: The unit; empty for a metric without a unit.
        more_is_better: Whether a higher value is better.
        a: The mean of A.
        b: The mean of B.
        mean: The mean of the paired differences B - A.
        low: The lower end of the 95% confidence interval of `mean`.
        high: The upper end of the 95% confidence interval of `mean`.
        pairs: The number of pairs.
        sign_p: The p-value of the two-sided sign test: the probability that chance alone gives signs that are
            at least as one-sided.
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
        """Return `even` if the interval contains 0, `unsure` with too few pairs, else `better` or `worse`."""
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
    """Return the bootstrap percentile interval of the mean, from 10,000 resamples.

    Args:
        differences: The values; without values the interval is (0, 0).
        confidence: The confidence level, a fraction from 0 to 1.
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
    """Return the two-sided p-value of the sign test. Ties are ignored; without any difference it is 1."""
    positive_count = sum(d > 0 for d in differences)
    nonzero_count = positive_count + sum(d < 0 for d in differences)
    tail = sum(
        math.comb(nonzero_count, k) for k in range(min(positive_count, nonzero_count - positive_count) + 1)
    )
    p_value: float = 2 * tail / 2**nonzero_count
    return min(1.0, p_value)


def difference(metric: Metric, a: Sequence[Result], b: Sequence[Result]) -> Difference:
    """Return the difference of one metric between B and A; results at the same index form a pair."""
    values_a = [metric.of(result) for result in a]
    values_b = [metric.of(result) for result in b]
    differences = [value_b - value_a for value_a, value_b in zip(values_a, values_b, strict=True)]
    interval = bootstrap(differences)
    return Difference(
        name=metric.name,
        unit=metric.unit,
        more_is_better=metric.more_is_better,
        a=mean(values_a),
        b=mean(values_b),
        mean=mean(differences),
        low=interval.low,
        high=interval.high,
        pairs=len(differences),
        sign_p=sign_test(differences),
    )


def mean(values: Sequence[float]) -> float:
    """Return the arithmetic mean, or 0 without values."""
    return math.fsum(values) / len(values) if values else 0.0


def rule_totals(results: Sequence[Result]) -> dict[str, int]:
    """Return the number of violations over all results, for every rule that any result lists."""
    names = sorted({name for result in results for name in result.rules})
    return {name: sum(result.rules.get(name, 0) for result in results) for name in names}


def unsound_reasons(result: Result, expect: Expect) -> list[str]:
    """Return why a run is not sound, one line for each reason.

    Args:
        result: The result of the run.
        expect: The expectations of the scenario.

    Returns:
        One line for each rule that was broken unexpectedly, for an early end, and for each expectation that
        was not met.
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
        f"rule {name} was expected to be broken but was not"
        for name in expect.breaks
        if not result.rules.get(name)
    ]
    if result.end_reason != "whole":
        lines.append(f"cut short: {result.end_reason}")
    return lines + unmet
