"""Token buckets for the quotas of tenants and the retry budget, and the admission of requests over quota."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from flintridge import api

NS_PER_S = 1_000_000_000
QUOTA_SLACK = 1.5  # a node's share of a tenant's traffic may exceed the mean by this factor
MIN_DEPTH_TOKENS = 8.0  # at a low rate, requests arrive in bursts by chance
RETRY_BUDGET_INDEX = -1  # the tenant index of the retry budget in an allocation
BAD_ROUND_FACTOR = 0.5  # applied to the admitted fraction over quota after a bad round of a limiter
GOOD_ROUND_STEP = 0.05  # added to the admitted fraction over quota after a good round


@dataclass(slots=True)
class TokenBucket:
    """A token bucket whose depth is the tokens of one second, but at least MIN_DEPTH_TOKENS.

    Attributes:
        rate_per_s: Tokens added per second.
        tokens: The number of tokens at `updated_at`.
        updated_at: The instant of the last change of `tokens`, in nanoseconds.
    """

    rate_per_s: float
    tokens: float
    updated_at: int

    @classmethod
    def full(cls, rate_per_s: float, now: int) -> "TokenBucket":
        """Create a full bucket."""
        return cls(rate_per_s, max(MIN_DEPTH_TOKENS, rate_per_s), now)

    @property
    def depth(self) -> float:
        """The maximum number of tokens."""
        return max(MIN_DEPTH_TOKENS, self.rate_per_s)

    def level(self, now: int) -> float:
        """Return the number of tokens at the instant `now`."""
        return min(self.depth, self.tokens + self.rate_per_s * (now - self.updated_at) / NS_PER_S)

    def try_take(self, now: int) -> bool:
        """Take a token if there is one.

        Returns:
            Whether a token was taken.
        """
        tokens = self.level(now)
        self.updated_at = now
        if tokens < 1:
            self.tokens = tokens
            return False
        self.tokens = tokens - 1
        return True

    def give_back(self, now: int) -> None:
        """Return a token that was taken; it is lost if the bucket is full again."""
        self.tokens = min(self.depth, self.level(now) + 1)
        self.updated_at = now

    def add(self, tokens: float, now: int) -> None:
        """Add tokens; those that exceed the depth of the bucket can only be taken at this instant."""
        self.tokens = self.level(now) + tokens
        self.updated_at = now

    def set_rate(self, rate_per_s: float, now: int) -> None:
        """Change the rate from now on; the time before is accounted at the old rate."""
        self.tokens = self.level(now)
        self.updated_at = now
        self.rate_per_s = rate_per_s

    def wait_ns(self, now: int) -> float:
        """Return the time until there is a token, in nanoseconds; 0 or less if there is one already."""
        return max(0.0, 1 - self.tokens) * NS_PER_S / self.rate_per_s - (now - self.updated_at)


class Quotas:
    """This node's share of the quotas of all tenants.

    Attributes:
        rates_per_s: This node's rate in requests per second by tenant, before the allocation is applied; 0
            or absent if the tenant has no quota.
        over_quota_admit_fraction: The fraction of requests over quota that is admitted.
        is_strict: Whether all requests over quota are rejected.
    """

    def __init__(self, tenants: Sequence[api.Tenant], fleet_size: int, rng: random.Random) -> None:
        per_node = QUOTA_SLACK / fleet_size
        self.rates_per_s = {i: per_node * tenant.quota_per_s for i, tenant in enumerate(tenants)}
        self.over_quota_admit_fraction = 1.0
        self.is_strict = False
        self._allocated: Mapping[int, float] = {}  # multiples of the rates, by tenant
        self._buckets: dict[int, TokenBucket] = {}  # created with the first request of a tenant
        self._rng = rng

    def apply(self, allocation: api.AllocationUpdate, now: int) -> None:
        """Apply a new allocation from now on."""
        self.is_strict = allocation.strict_quotas
        self._allocated = allocation.tenants
        for tenant, bucket in self._buckets.items():
            bucket.set_rate(self.rate_per_s(tenant), now)

    def rate_per_s(self, tenant: int) -> float:
        """Return this node's rate for a tenant in requests per second; 0 if there is no quota."""
        return self.rates_per_s.get(tenant, 0.0) * self._allocated.get(tenant, 1.0)

    def try_take(self, tenant: int, now: int) -> bool:
        """Count a request against the quota of its tenant.

        Returns:
            Whether the request is within the quota.
        """
        if not self.rates_per_s.get(tenant):
            return True
        return self._bucket(tenant, now).try_take(now)

    def give_back(self, tenant: int, now: int) -> None:
        """Return the token of a request within the quota that was never sent.

        A client that repeats a rejected request takes another token. Without this, an overload would put a
        tenant over its quota that keeps within it.
        """
        if self.rates_per_s.get(tenant):
            self._bucket(tenant, now).give_back(now)

    def level(self, tenant: int, now: int) -> float:
        """Return the number of tokens that a tenant with a quota has at the instant `now`."""
        return self._bucket(tenant, now).level(now)

    def admits_over_quota(self) -> bool:
        """Decide at random whether a request over quota is admitted."""
        if self.is_strict:
            return False
        return self._rng.random() < self.over_quota_admit_fraction

    def record_round(self, is_bad: bool) -> None:
        """Adapt the admitted fraction to the result of a limiter's round.

        Under overload, requests over quota are reduced first.
        """
        if is_bad:
            self.over_quota_admit_fraction *= BAD_ROUND_FACTOR
        else:
            self.over_quota_admit_fraction = min(1.0, self.over_quota_admit_fraction + GOOD_ROUND_STEP)

    def wait_ns(self, tenant: int, now: int) -> float | None:
        """Return the time until a tenant has a token, in nanoseconds; None if its rate is 0.

        A tenant without a bucket does not have to wait, as its bucket will be created full.
        """
        if not self.rate_per_s(tenant):
            return None
        bucket = self._buckets.get(tenant)
        return 0.0 if bucket is None else bucket.wait_ns(now)

    def _bucket(self, tenant: int, now: int) -> TokenBucket:
        """Return the bucket of a tenant, creating a full one if there is none."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = TokenBucket.full(self.rate_per_s(tenant), now)
            self._buckets[tenant] = bucket
        return bucket


class RetryBudget:
    """Limits the retries of this node to a rate per second plus a number for each first attempt."""

    def __init__(self) -> None:
        self._is_limited = False
        self._rate_per_s = 0.0
        self._retries_per_attempt = 0.0
        self._bucket: TokenBucket | None = None  # created when it is first used

    def apply(self, allocation: api.AllocationUpdate, now: int) -> None:
        """Apply a new allocation from now on."""
        self._is_limited = bool(allocation.retries_per_s)
        self._rate_per_s = allocation.retries_per_s * allocation.tenants.get(RETRY_BUDGET_INDEX, 1.0)
        self._retries_per_attempt = allocation.retries_per_attempt
        if self._bucket is not None:
            self._bucket.set_rate(self._rate_per_s, now)

    def record_first_attempt(self, now: int) -> None:
        """Add the retries that a first attempt allows to the budget."""
        if self._retries_per_attempt:
            self._get_bucket(now).add(self._retries_per_attempt, now)

    def try_take(self, now: int) -> bool:
        """Take a retry from the budget.

        Returns:
            Whether the retry may be sent.
        """
        return not self._is_limited or self._get_bucket(now).try_take(now)

    def _get_bucket(self, now: int) -> TokenBucket:
        if self._bucket is None:
            self._bucket = TokenBucket.full(self._rate_per_s, now)
        return self._bucket
