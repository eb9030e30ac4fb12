"""The byte budget's sliding window."""

import random

from flintridge.membership.byte_budget import ByteBudget


def test_try_spend_in_any_window_of_a_second_grants_at_most_the_rate():
    budget, rng, spent = ByteBudget(1000.0), random.Random(4), []
    now = 0.0
    for _ in range(2000):
        now += rng.uniform(0, 30)
        amount = rng.uniform(1, 200)
        if budget.try_spend(now, amount):
            spent.append((now, amount))
        window = sum(amount for at, amount in spent if at > now - 1000)
        assert window <= 1000 + 1e-6
    assert sum(amount for _, amount in spent) > 0.9 * now  # most of the budget can be spent
