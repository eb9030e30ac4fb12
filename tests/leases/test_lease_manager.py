"""The ledger: whom a process asks, what it gives back, and its words; then processes on links that fail."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.lab.defects.lending import CreditBeforeDebit, LeaseFromArrival, LoansForgotten
from flintridge.lab.partial.lending import QUOTA, Lenders, random_day
from flintridge.lab.partial.machines import Link
from flintridge.leases.allocation import LeaseGrant, LeaseRelease, LeaseRequest, LeaseTerms
from flintridge.leases.demand import RecentPeak, RequestRate
from flintridge.leases.lease_manager import (
    AGAIN,
    CHUNK,
    FLOORS,
    MOST_WORDS,
    PART,
    TRIES,
    FleetLimit,
    LeaseManager,
)
from flintridge.leases.messages import Said, decode, encode, flat, mark_of, word_of

TERMS = LeaseTerms(PART, floor=250, lease=4_000.0)
OLD = -1e9  # begun long ago
ROOM = 1_000


def ledger(*peers: str, nodes: int = 2, terms: LeaseTerms = TERMS, seed: int = 1, names=(QUOTA,), told=None):
    budgets = tuple(FleetLimit(name, 100.0 * nodes, "requests a second", nodes, terms) for name in names)
    return LeaseManager(
        peers, budgets, 2_000.0, OLD, random.Random(seed), told or (lambda event, **fields: None)
    )


def life(name: str) -> SimpleNamespace:
    return SimpleNamespace(name=name, incarnation=1)


def pass_words(
    now: float, source: tuple[str, LeaseManager], target: tuple[str, LeaseManager], room: int = ROOM
) -> bytes | None:
    data = source[1].payload_for(now, life(target[0]), room)
    if data is not None:
        target[1].receive_payload(now, source[0], 1, now, data)
    return data


def talk(now: float, a: tuple[str, LeaseManager], b: tuple[str, LeaseManager], times: int = 4) -> None:
    for _ in range(times):
        for one in (a[1], b[1]):
            one.tick(now)
        pass_words(now, a, b)
        pass_words(now, b, a)


def pair(need_a: float = 1.8, need_b: float = 0.2, **changes):
    a, b = ("a", ledger("b", **changes)), ("b", ledger("a", **changes))
    a[1].need(QUOTA, need_a)
    b[1].need(QUOTA, need_b)
    return a, b


# Whom to ask for what


def test_a_node_that_needs_more_borrows_what_another_does_not_need():
    a, b = pair()
    for now in range(0, 3_000, 50):
        talk(now, a, b, 1)
    assert a[1].usable(QUOTA, 3_000) == pytest.approx(1.72) and b[1].usable(QUOTA, 3_000) == pytest.approx(
        0.28
    )
    # The lender keeps what it needs, and some more: 0.2 x 1.15 + 0.05.
    assert a[1].counts["granted"] >= 3  # in chunks


def test_loans_are_renewed_while_needed_and_given_back_when_not():
    a, b = pair()
    for now in range(0, 30_000, 50):
        talk(now, a, b, 1)
    assert a[1].usable(QUOTA, 30_000) == pytest.approx(1.72) and a[1].counts["renewed"] > 10
    a[1].need(QUOTA, 0.5)
    talk(30_000, a, b)
    assert a[1].usable(QUOTA, 30_000) < 1.1 and b[1].usable(QUOTA, 30_000) > 0.9
    assert a[1].counts["given_back"] > 0


def test_nothing_is_kept_of_loans_that_were_given_back():
    a, b = pair()
    for now in range(0, 60_000, 50):
        a[1].need(QUOTA, 1.8 if now // 6_000 % 2 else 0.1)
        talk(now, a, b, 1)
    account = a[1].accounts[QUOTA]
    assert a[1].counts["given_back"] > 10 and a[1].counts["renewed"] > 10
    live = set(account.holding.borrowed)
    assert set(account.renewed) | set(account.lenders) | account.denied <= live
    assert set(account.holding.asked) <= live | set(account.calls)


def test_a_lender_that_needs_its_part_again_has_it_when_the_loans_end():
    a, b = pair()
    for now in range(0, 5_000, 50):
        talk(now, a, b, 1)
    b[1].need(QUOTA, 1.0)
    for now in range(5_000, int(5_000 + TERMS.lasts) + 100, 50):
        talk(now, a, b, 1)
        assert a[1].usable(QUOTA, now) + b[1].usable(QUOTA, now) <= 2 + 1e-9
    assert b[1].usable(QUOTA, now) == 1.0 == a[1].usable(QUOTA, now)
    assert b[1].counts["refused_need"] > 0 and a[1].counts["expired"] > 0


def test_needs_that_sway_by_a_tenth_move_nothing():
    a, b = pair(need_a=1.3, need_b=0.3)
    rng = random.Random(3)
    moved = []
    for now in range(0, 40_000, 50):
        a[1].need(QUOTA, 1.3 * rng.uniform(0.9, 1.1))
        b[1].need(QUOTA, 0.3 * rng.uniform(0.9, 1.1))
        talk(now, a, b, 1)
        moved.append((a[1].counts["granted"], a[1].counts["given_back"]))
    assert moved[200] == moved[-1] and moved[-1][0] > 0


def test_a_call_that_nobody_answers_is_said_again_and_then_taken_back():
    a, b = pair()
    b[1].tick(0.0)
    pass_words(0.0, b, a)  # the offer
    said = []
    for now in range(0, int(AGAIN) * (TRIES + 2), 50):
        a[1].tick(now)
        if (data := a[1].payload_for(now, life("b"), ROOM)) is not None:
            said += [word_of(*one[1:]) for one in decode(data).words]
    ids = {word.id for word in said}
    assert [type(word) for word in said if word.id == min(ids)] == [LeaseRequest] * TRIES + [LeaseRelease]
    assert a[1].counts["unanswered"] == len(ids) and not a[1].accounts[QUOTA].calls
    late = encode(Said(0.0, (), (flat(a[1].accounts[QUOTA].budget.mark, LeaseGrant(1, CHUNK, 0.0)),)))
    a[1].receive_payload(2_000.0, "b", 1, 2_000.0, late)
    assert a[1].usable(QUOTA, 2_000.0) == 1.0


def test_a_no_is_said_and_the_offer_forgotten():
    a, b = pair()
    b[1].tick(0.0)
    pass_words(0.0, b, a)
    a[1].tick(0.0)
    b[1].need(QUOTA, 2.0)
    pass_words(0.0, a, b)
    pass_words(0.0, b, a)
    account = a[1].accounts[QUOTA]
    assert a[1].counts["denied"] >= 1 and not account.calls and not account.offers
    assert b[1].counts["refused_need"] >= 1 and b[1].usable(QUOTA, 0.0) == 1.0


def test_offers_are_taken_by_chance_and_no_longer_than_they_count():
    chosen = set()
    for seed in range(20):
        one = ledger("x", "y", "z", nodes=4, seed=seed)
        one.need(QUOTA, 1.2)
        mark = one.accounts[QUOTA].budget.mark
        for name in "xyz":
            one.receive_payload(0.0, name, 1, 0.0, encode(Said(0.0, ((mark, 400),))))
        one.tick(10.0)
        chosen |= {name for name, _ in one.waiting()}
    assert chosen == {"x", "y", "z"}
    old = ledger("x")
    old.need(QUOTA, 2.0)
    old.receive_payload(0.0, "x", 1, -10_001.0, encode(Said(0.0, ((mark, 400),))))
    old.tick(0.0)
    assert not old.waiting()


def test_what_is_cut_by_nodes_is_needed_by_traffic():
    one = ledger("b", "c", nodes=3, names=(FLOORS,))
    one.pace = 300.0
    one.tick(0.0)
    assert one.accounts[FLOORS].need == PART  # nobody heard: an even part
    for name, pace in (("b", 30.0), ("c", 60.0)):
        one.receive_payload(0.0, name, 1, 0.0, encode(Said(pace)))
    one.tick(50.0)
    assert one.accounts[FLOORS].need == pytest.approx(PART * 300 / 130)
    one.tick(30_000.0)
    assert one.accounts[FLOORS].need == PART


# Places


def test_places_that_are_taken_up_are_neither_lent_nor_given_back():
    terms = LeaseTerms(PART, floor=250, lease=6_000.0, keep=2_500.0)
    a, b = pair(terms=terms)
    taken = {"a": 0.0, "b": 0.9}
    for name, one in (a, b):
        one.uses(QUOTA, lambda name=name: taken[name])
    for now in range(0, 1_000, 50):
        talk(now, a, b, 1)
    assert b[1].usable(QUOTA, 1_000) >= 0.9  # it needs 0.2, but 0.9 are out
    taken["b"] = 0.0
    for now in range(1_000, 2_000, 50):
        talk(now, a, b, 1)
    assert a[1].usable(QUOTA, 2_000) > 1.6
    taken["a"] = 1.6
    a[1].need(QUOTA, 0.0)
    talk(2_000, a, b)
    assert a[1].usable(QUOTA, 2_000) >= 1.6
    a[1].leave(2_000)
    assert a[1].usable(QUOTA, 2_000) >= 1.6
    taken["a"] = 0.0
    talk(2_050, a, b)
    assert a[1].usable(QUOTA, 2_050) <= 1.0 and b[1].usable(QUOTA, 2_050) >= 1.0


def test_a_place_is_taken_only_as_long_as_what_begins_there_ends_before_the_loan():
    terms = LeaseTerms(PART, floor=250, lease=6_000.0, keep=2_500.0)
    a, b = pair(terms=terms)
    talk(0.0, a, b)
    assert a[1].usable(QUOTA, 3_499.0) > 1 == a[1].usable(QUOTA, 3_500.0)
    assert b[1].usable(QUOTA, 6_000.0) < 1 == b[1].usable(QUOTA, terms.lasts)
    with pytest.raises(ValueError, match="keep 6000 must be from 0 to under the lease of 6000"):
        LeaseTerms(PART, 250, 6_000.0, keep=6_000.0)


# Words


def test_budgets_of_another_size_are_refused_and_told_once():
    told = []
    a = "a", ledger("b", told=lambda event, **fields: told.append((event, fields)))
    for other in (ledger("a", nodes=3), ledger("a", terms=LeaseTerms(PART, 250, 5_000.0))):
        other.need(QUOTA, 3.0)
        mark = other.accounts[QUOTA].budget.mark
        words = (flat(mark, LeaseRequest(1, 100, 0.0)), flat(mark, LeaseGrant(2, 100, 0.0)))
        a[1].receive_payload(0.0, "b", 1, 0.0, encode(Said(0.0, ((mark, 500),), words)))
    assert a[1].counts["refused_terms"] == 4 and told == [("budgets_terms_differ", {"peer": "b"})]
    assert a[1].usable(QUOTA, 0.0) == 1.0 and not a[1].accounts[QUOTA].offers


def test_a_mark_stands_for_name_size_parts_and_terms():
    marks = {
        mark_of(name, whole, nodes, terms)
        for name in ("a", "b")
        for whole in (10.0, 10.5)
        for nodes in (2, 3)
        for terms in (TERMS, LeaseTerms(PART, 250, 4_001.0), LeaseTerms(PART, 250, keep=1.0))
    }
    assert len(marks) == 24
    assert mark_of("a", 1.0, 2, TERMS) == mark_of("a", 1.0, 2, LeaseTerms(PART, 900))  # a floor is one's own


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200) | st.builds(lambda said: encode(said)[:-1], st.builds(Said, st.just(1.0))))
def test_bytes_that_are_no_words_are_counted_and_change_nothing(data):
    one = ledger("b")
    one.receive_payload(0.0, "b", 1, 0.0, data)
    one.receive_payload(0.0, "stranger", 1, 0.0, encode(Said(1.0)))
    assert one.counts["malformed"] >= 1 and one.usable(QUOTA, 0.0) == 1.0


def test_what_is_said_fits_its_room_and_is_bounded():
    names = tuple(f"quota {i}" for i in range(100))
    one = ledger("b", names=names)
    for name in names:
        one.need(name, 0.0)
    for account in one.accounts.values():
        for id in range(3):
            one._word(account, ("b", 1), LeaseRequest(id, 100, 1.0), 0.0)
    assert sum(len(words) for words in one._out.values()) <= MOST_WORDS
    for room in (10, 40, 200, 1_000):
        data = one.payload_for(0.0, life("b"), room)
        assert data is None or len(data) <= room
    assert one.payload_for(0.0, life("b"), 1_000) is not None
    one.unheard(("b", 1))
    assert not one.waiting()


def test_a_pace_rises_quickly_and_falls_slowly():
    pace, level = RequestRate(0.0), RecentPeak(0.0)
    for now in range(50, 3_050, 50):
        pace.add(5)
        pace.look(now)
        level.look(now, 7.0)
    risen = pace.per_s
    for now in range(3_050, 6_050, 50):
        pace.look(now)
        level.look(now, 0.0)
    assert 80 <= risen <= 101 and 0.2 * risen < pace.per_s < 0.7 * risen and 3 < level.most < 7


# Processes on links that fail, in virtual time


def uneven(count: int, seed: int, **given) -> Lenders:
    fleet = Lenders(count, seed, TERMS, drift=0.01, **given)
    for i, name in enumerate(fleet.names):
        fleet.need(name, 0.2 if i % 2 else 1.8)
    return fleet


def crowded(fleet: Lenders) -> float:
    return sum(fleet.usable(name) for name in fleet.names[::2]) / len(fleet.names[::2])


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_ten_nodes_move_most_of_what_half_do_not_need_to_the_others(loss):
    fleet = uneven(10, 1, link=Link(loss=loss, jitter=2.0))
    fleet.run(5_000)
    assert all(fleet.usable(name) <= 1.0 for name in fleet.names[1::2])
    fleet.run(15_000)
    assert crowded(fleet) > 1.55 and not fleet.over
    assert min(fleet.usable(name) for name in fleet.names[::2]) > 1.2  # and none of them goes without


def test_with_every_link_dropped_from_the_start_each_holds_its_even_part():
    fleet = uneven(6, 2)
    fleet.cut(fleet.names, fleet.names)
    fleet.run(5_000)
    for _ in range(20):
        fleet.run(1_000)
        assert {fleet.usable(name) for name in fleet.names} == {1.0}


def test_a_third_that_is_cut_off_has_its_even_part_again_and_lends_within():
    fleet = uneven(9, 3)
    fleet.run(10_000)
    third = fleet.names[:3]
    fleet.cut(third, fleet.names[3:])
    fleet.run(2 * TERMS.lasts)
    for _ in range(5):
        fleet.run(1_000)
        assert sum(fleet.usable(name) for name in third) >= 3 - 1e-9
        assert sum(fleet.usable(name) for name in fleet.names[3:]) >= 6 - 1e-9
    assert not fleet.over


def test_a_node_that_leaves_lends_its_part_and_gives_back_what_it_borrowed():
    fleet = uneven(6, 4)
    fleet.run(10_000)
    before = crowded(fleet)
    fleet.leave("n1")
    fleet.run(500)
    assert crowded(fleet) >= before
    fleet.leave("n0")
    fleet.run(TERMS.lasts)  # by then at the latest, should a word be lost
    assert all(peer[0] != "n0" for name in fleet.names[2:] for peer, _ in lent(fleet, name))
    assert not fleet.over


def lent(fleet: Lenders, name: str):
    return fleet.ledger(name).accounts[QUOTA].holding.lent


def test_all_restarted_at_once_hold_their_floors_and_then_begin_anew():
    fleet = uneven(6, 5)
    fleet.run(10_000)
    for name in fleet.names:
        fleet.kill(name)
        fleet.start(name)
    assert {fleet.usable(name) for name in fleet.names} == {0.25}
    fleet.run(TERMS.lasts + 100)
    assert fleet.whole() > 5 and not fleet.over
    fleet.run(15_000)
    assert crowded(fleet) > 1.55 and not fleet.over


@pytest.mark.parametrize("seed", range(1, 5))
def test_random_days_keep_the_sum(seed):
    """Five hundred are a command: benchmarks/budget_days.py."""
    day = random_day(seed, 8, 20_000.0)
    assert not day.over and day.granted > 0


@pytest.mark.parametrize("defect", [CreditBeforeDebit, LoansForgotten, LeaseFromArrival])
def test_a_planted_defect_shows_in_the_sum_of_a_random_day(defect):
    assert any(random_day(seed, 6, 20_000.0, defect).over for seed in range(1, 9))
