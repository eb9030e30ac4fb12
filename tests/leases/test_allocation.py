"""Holdings: the sum over all processes in every interleaving, planted defects, the rule clause by clause."""

import random

import pytest

from flintridge.lab.defects.lending import LENDING
from flintridge.lab.explore import explore
from flintridge.lab.explore.leases import SPEEDS, Leases, Left
from flintridge.leases.allocation import Allocation, LeaseGrant, LeaseRelease, LeaseRequest, LeaseTerms

TERMS = LeaseTerms(part=100, floor=40, lease=1000.0, drift=0.02)
A, B = ("a", 1), ("b", 2)
OLD = -1e9  # begun long ago


def pair() -> tuple[Allocation, Allocation]:
    return Allocation(TERMS, OLD), Allocation(TERMS, OLD)


def lent(amount=60, now=0.0) -> tuple[Allocation, Allocation, LeaseGrant]:
    lender, borrower = pair()
    grant = lender.hear(now, B, borrower.ask(now, "a", amount))
    borrower.hear(now, A, grant)
    return lender, borrower, grant


# Every interleaving

NONE = {"asks": 0, "renews": 0, "losses": 0, "doubles": 0, "pauses": 0, "restarts": 0, "forgoes": 0}


@pytest.mark.parametrize(
    ("speeds", "left", "states"),
    [
        ((4.0, 6.0, 4.0), {"asks": 2}, 10_000),
        ((4.0, 6.0), {"asks": 1, "renews": 1, "losses": 1, "pauses": 1, "restarts": 1}, 10_000),
        ((4.0, 6.0), {"asks": 1, "doubles": 1, "restarts": 1, "forgoes": 1}, 1_000),
    ],
)
def test_processes_never_use_more_than_the_budget_whatever_happens(speeds, left, states):
    """The longer searches are a command: benchmarks/lease_search.py."""
    found = explore(Leases.begin(speeds, Left(**NONE | left)))
    assert found.whole and not found.broken, found.story
    assert found.states > states


# What has to happen for a defect to show; two processes, an ask and a pause do for most.
SHOWN = {
    "LoansForgotten": {"asks": 1, "restarts": 1},
    "NoFloor": {"asks": 1, "restarts": 1},
    "DoubledGrantCountsTwice": {"asks": 1, "doubles": 1},
    "LateGrantAfterGivingBack": {"asks": 1, "doubles": 1},
    "RenewedByAsking": {"asks": 1, "renews": 1},
    "RenewalNotCounted": {"asks": 1, "renews": 1},
    "LeasesNotLookedAt": {"asks": 1, "pauses": 1},
    "AnotherLifesLoanEnds": {"asks": 2},
}


@pytest.mark.parametrize("defect", LENDING, ids=lambda defect: defect.__name__)
def test_each_planted_defect_is_found_with_its_story(defect):
    speeds = (4.0, 6.0, 6.0) if defect.__name__ == "AnotherLifesLoanEnds" else (4.0, 6.0)
    left = Left(**NONE | SHOWN.get(defect.__name__, {"asks": 1}))
    found = explore(Leases.begin(speeds, left, make=defect))
    assert defect.__doc__ and found.broken and found.story, (defect.__doc__, found.states)
    sound = explore(Leases.begin(speeds, left), most=3 * found.states)
    assert not sound.broken


# Clause by clause


def test_a_loan_moves_what_is_beyond_the_floor_and_comes_back_at_its_end():
    lender, borrower, grant = lent(amount=80)
    assert grant.amount == 60 and (lender.usable(0), borrower.usable(0)) == (40, 160)
    assert (lender.usable(999), borrower.usable(999)) == (40, 160)
    assert (lender.usable(1001), borrower.usable(1001)) == (40, 100)  # the borrower's ends first
    assert lender.usable(TERMS.lasts) == 100
    assert lender.lendable(0) == 0 and lender.hear(0.0, B, LeaseRequest(9, 5, 0.0)) is None


def test_what_a_node_needs_itself_is_not_lent():
    lender, borrower = pair()
    assert lender.lendable(0, need=70) == 30 and lender.lendable(0, need=500) == 0
    assert lender.hear(0.0, B, borrower.ask(0.0, "a", 60), need=70) == LeaseGrant(1, 30, 0.0)


def test_a_grant_that_is_lost_stays_lent_and_a_repeated_call_gives_the_same_loan():
    lender, borrower = pair()
    ask = borrower.ask(0.0, "a", 60)
    lender.hear(0.0, B, ask)
    assert (lender.usable(10), borrower.usable(10)) == (40, 100)
    again = lender.hear(500.0, B, ask._replace(stamp=400.0))
    borrower.hear(600.0, A, again)
    assert again.amount == 60 and borrower.usable(1399) == 160 and borrower.usable(1400) == 100
    assert lender.usable(500 + TERMS.lasts - 1) == 40


def test_a_grant_that_comes_late_unasked_or_for_what_was_given_back_counts_nothing():
    lender, borrower, grant = lent()
    late = Allocation(TERMS, OLD)
    late.ask(0.0, "a", 60)
    late.hear(1000.0, A, grant)
    assert late.usable(1000.0) == 100
    stranger = Allocation(TERMS, OLD)
    stranger.hear(0.0, A, grant)
    assert stranger.usable(0.0) == 100
    assert borrower.give(1.0, "a", 1) == LeaseRelease(1) and borrower.usable(1.0) == 100
    borrower.hear(2.0, A, grant)
    assert borrower.usable(2.0) == 100 and borrower.give(2.0, "a", 1) is None
    lender.hear(3.0, B, LeaseRelease(1))
    lender.hear(3.0, B, LeaseRelease(1))
    assert lender.usable(3.0) == 100


def test_a_process_that_starts_anew_holds_its_floor_until_the_longest_loan_is_over():
    lender = Allocation(TERMS, 5_000.0)
    assert (lender.usable(5_000.0), lender.lendable(5_000.0)) == (40, 0)
    assert lender.usable(5_000.0 + TERMS.lasts) == 100


def test_two_processes_of_a_node_use_half_each_and_the_new_one_nothing_until_the_old_one_knows():
    old, new = Allocation(TERMS, OLD), Allocation(TERMS, 0.0)
    other = Allocation(TERMS, OLD)
    other.hear(0.0, A, old.hear(0.0, B, other.ask(0.0, "a", 60)))
    new.joined(0.0, notice=500.0)
    for now in range(0, 4_000, 50):
        if now == 450:
            old.joined(450.0)
        parts = old.usable(now) + new.usable(now)
        assert parts + other.usable(now) <= 200, now
    assert old.lendable(3_000) == 0
    new.parted(4_000.0)  # the old one has ended: what it lent is not known here
    assert new.usable(4_000.0) == 40 and new.usable(4_000.0 + TERMS.lasts) == 100


@pytest.mark.parametrize("seed", range(20))
def test_random_days_of_five_processes_keep_the_sum(seed):
    """Longer stories than the explorer's: thousands of steps, clocks that run apart by 2%."""
    rng = random.Random(seed)
    names = "abcde"
    rates = {name: 1 + 0.02 * rng.uniform(-1, 1) for name in names}
    offsets = {name: rng.uniform(0, 1e6) for name in names}
    lives = dict.fromkeys(names, 1)
    now = 0.0

    def clock(name):
        return offsets[name] + now * rates[name]

    held = {name: Allocation(TERMS, OLD) for name in names}
    stopped: dict[str, float] = {}
    flying: list[tuple[float, str, tuple[str, int], object]] = []
    moved = 0

    def send(to, source, word):
        for _ in range(rng.choice((0, 1, 1, 1, 1, 2))):
            flying.append((now + rng.choice((1.0, 20.0, 300.0, 2_000.0)) * rng.random(), to, source, word))

    for _ in range(6_000):
        now += rng.uniform(0, 20)
        stopped = {name: until for name, until in stopped.items() if until > now}
        due = [item for item in flying if item[0] <= now and item[1] not in stopped]
        for item in due:
            flying.remove(item)
            _, to, source, word = item
            answer = held[to].hear(clock(to), source, word, need=rng.choice((0, 50, 90)))
            if answer is not None:
                send(source[0], (to, lives[to]), answer)
        name = rng.choice(names)
        if name not in stopped:
            one, at = held[name], clock(name)
            one.look(at)
            deed = rng.random()
            if deed < 0.3:
                other = rng.choice([n for n in names if n != name])
                send(other, (name, lives[name]), one.ask(at, other, rng.choice((10, 30, 60))))
            elif deed < 0.5 and one.borrowed:
                lender, id = rng.choice(list(one.borrowed))
                word = one.renew(at, lender, id) if rng.random() < 0.7 else one.give(at, lender, id)
                if word is not None:
                    send(lender, (name, lives[name]), word)
            elif deed < 0.52:
                stopped[name] = now + rng.choice((100.0, 1_500.0, 5_000.0))
            elif deed < 0.54:
                held[name], lives[name] = Allocation(TERMS, at), lives[name] + 1
        used = {n: one.usable(clock(n)) for n, one in held.items()}
        moved = max(moved, max(used.values()))
        assert sum(used.values()) <= 500 and min(used.values()) >= 40, (now, used)
    assert moved > 100  # something was lent at all


@pytest.mark.parametrize(
    ("values", "reason"),
    [
        ({"part": 10, "floor": 11}, "floor 11 must be from 0 to the part of 10"),
        ({"part": 10, "floor": -1}, "floor -1 must be from 0"),
        ({"part": 10, "floor": 1, "lease": 0.0}, "lease 0 must be over 0"),
        ({"part": 10, "floor": 1, "drift": 0.5}, "drift 0.5 from 0 to under 0.5"),
    ],
)
def test_terms_that_mean_nothing_are_refused(values, reason):
    with pytest.raises(ValueError, match=reason):
        LeaseTerms(**values)


def test_the_speeds_of_the_whole_search_are_all_mixtures_of_slow_and_fast():
    assert len(SPEEDS) == 4 and (4.0, 4.0, 6.0) in SPEEDS
