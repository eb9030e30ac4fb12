"""Token buckets: the tenants' quotas, what is admitted beyond them, and the budget of retries."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from flintridge import api

NS_PER_S = 1_000_000_000
QUOTA_SLACK = 1.5  # a node's fraction of a tenant's traffic may be this much over the mean
MIN_DEPTH_TOKENS = 8.0  # with few requests a second, rng alone bunches them
RETRY_BUDGET_INDEX = -1  # its position among the tenants of an allocation
BAD_ROUND_FACTOR = 0.5  # of what is admitted beyond quotas, after a limiter's bad round
GOOD_ROUND_STEP = 0.05  # of all that is beyond quotas, after a good one


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come in at a steady rate, up to one second's worth or MIN_DEPTH_TOKENS.

    Attributes:
        rate_per_s: Tokens that come in a second.
        tokens: How many there were ...
        updated_at: ... at this instant, in nanoseconds.
    """

    rate_per_s: float
    tokens: float
    updated_at: int

    @classmethod
    def full(cls, rate_per_s: float, now: int) -> "TokenBucket":
        """A bucket with all the tokens that it can hold."""
        return cls(rate_per_s, max(MIN_DEPTH_TOKENS, rate_per_s), now)

    def level(self, now: int) -> float:
        """How many tokens there are by now."""
        depth = max(MIN_DEPTH_TOKENS, self.rate_per_s)
        return min(depth, self.tokens + self.rate_per_s * (now - self.updated_at) / NS_PER_S)

    def try_take(self, now: int) -> bool:
        """Take a token.

        Returns:
            Whether there was one.
        """
        tokens = self.level(now)
        self.updated_at = now
        if tokens < 1:
            self.tokens = tokens
            return False
        self.tokens = tokens - 1
        return True

    def add(self, tokens: float, now: int) -> None:
        """Put in some tokens at once; those beyond the depth last for this instant only."""
        self.tokens = self.level(now) + tokens
        self.updated_at = now

    def set_rate(self, rate_per_s: float, now: int) -> None:
        """Change the rate from now on; time before it counts by the rate of before."""
        self.tokens = self.level(now)
        self.updated_at = now
        self.rate_per_s = rate_per_s

    def wait_ns(self, now: int) -> float:
        """How long until there is a token, in nanoseconds; 0 or less: there is one."""
        return max(0.0, 1 - self.tokens) * NS_PER_S / self.rate_per_s - (now - self.updated_at)


class Quotas:
    """The quotas of tenants, as far as this node may use them.

    Attributes:
        rates_per_s: Requests a second by tenant, before an allocation; without one: no quota.
        over_quota_admit_fraction: The fraction that is admitted of what is beyond quotas.
        is_strict: Whether none of it is.
    """

    def __init__(self, tenants: Sequence[api.Tenant], fleet_size: int, rng: random.Random) -> None:
        per_node = QUOTA_SLACK / fleet_size
        self.rates_per_s = {i: per_node * tenant.quota_per_s for i, tenant in enumerate(tenants)}
        self.over_quota_admit_fraction = 1.0
        self.is_strict = False
        self._allocated: Mapping[int, float] = {}  # multiples of the rates
        self._buckets: dict[int, TokenBucket] = {}  # of the tenants that were seen
        self._rng = rng

    def apply(self, allocation: api.AllocationUpdate, now: int) -> None:
        """Use another allocation from now on."""
        self.is_strict = allocation.strict_quotas
        self._allocated = allocation.tenants
        for tenant, bucket in self._buckets.items():
            bucket.set_rate(self.rate_per_s(tenant), now)

    def rate_per_s(self, tenant: int) -> float:
        """What a tenant's quota and the allocation give this node, in requests a second; 0: no quota."""
        return self.rates_per_s.get(tenant, 0.0) * self._allocated.get(tenant, 1.0)

    def try_take(self, tenant: int, now: int) -> bool:
        """Count a request of a tenant.

        Returns:
            Whether it is within its quota.
        """
        if not self.rates_per_s.get(tenant):
            return True
        return self._bucket(tenant, now).try_take(now)

    def level(self, tenant: int, now: int) -> float:
        """How many tokens a tenant with a quota has by now."""
        return self._bucket(tenant, now).level(now)

    def admits_over_quota(self) -> bool:
        """Whether one more request beyond its quota is admitted, by rng."""
        if self.is_strict:
            return False
        return self._rng.random() < self.over_quota_admit_fraction

    def record_round(self, is_bad: bool) -> None:
        """Take in how a limiter's round went: what is beyond quotas yields first."""
        if is_bad:
            self.over_quota_admit_fraction *= BAD_ROUND_FACTOR
        else:
            self.over_quota_admit_fraction = min(1.0, self.over_quota_admit_fraction + GOOD_ROUND_STEP)

    def wait_ns(self, tenant: int, now: int) -> float | None:
        """How long until a tenant has a token, in nanoseconds; None: nothing has to come.

        A tenant without a bucket yet has its tokens at once.
        """
        if not self.rate_per_s(tenant):
            return None
        bucket = self._buckets.get(tenant)
        return 0.0 if bucket is None else bucket.wait_ns(now)

    def _bucket(self, tenant: int, now: int) -> TokenBucket:
        """The bucket of a tenant, full where it was not seen before."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = TokenBucket.full(self.rate_per_s(tenant), now)
            self._buckets[tenant] = bucket
        return bucket


class RetryBudget:
    """How many retries this node may send: so many a second, and so many for each first attempt."""

    def __init__(self) -> None:
        self._is_limited = False
        self._rate_per_s = 0.0
        self._retries_per_attempt = 0.0
        self._bucket: TokenBucket | None = None  # until it is first used

    def apply(self, allocation: api.AllocationUpdate, now: int) -> None:
        """Use another allocation from now on."""
        self._is_limited = bool(allocation.retries_per_s)
        self._rate_per_s = allocation.retries_per_s * allocation.tenants.get(RETRY_BUDGET_INDEX, 1.0)
        self._retries_per_attempt = allocation.retries_per_attempt
        if self._bucket is not None:
            self._bucket.set_rate(self._rate_per_s, now)

    def record_first_attempt(self, now: int) -> None:
        """Put in what a first attempt allows."""
        if self._retries_per_attempt:
            self._get_bucket(now).add(self._retries_per_attempt, now)

    def try_take(self, now: int) -> bool:
        """Count a retry.

        Returns:
            Whether it may be sent.
        """
        return not self._is_limited or self._get_bucket(now).try_take(now)

    def _get_bucket(self, now: int) -> TokenBucket:
        if self._bucket is None:
            self._bucket = TokenBucket.full(self._rate_per_s, now)
        return self._bucket
