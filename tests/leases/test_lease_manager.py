"""The lease manager: its requests, releases and messages, and runs of several processes over faulty links."""

import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.lab.defects.leases import CreditBeforeDebit, LeaseFromArrival, LeasesForgotten
from flintridge.lab.partial.lease_fleet import QUOTA, LeaseProcesses, random_run
from flintridge.lab.partial.virtual_network import Link
from flintridge.leases.allocation import ProcessId
from flintridge.leases.demand import RecentPeak, RequestRate
from flintridge.leases.fleet_limit import (
    EVEN_FRACTION_UNITS,
    FLOORS,
    FleetLimit,
    LeaseTerms,
    LeaseTermsError,
)
from flintridge.leases.lease_manager import LeaseManager
from flintridge.leases.lessee import MAX_LEASE_UNITS, MAX_REQUEST_ATTEMPTS, RETRY_INTERVAL_MS
from flintridge.leases.messages import (
    MAX_MESSAGES,
    LeaseGrant,
    LeaseOffer,
    LeasePayload,
    LeaseRelease,
    LeaseRequest,
    LimitMessage,
    decode,
    encode,
)

TERMS = LeaseTerms(EVEN_FRACTION_UNITS, floor=250, lease_ms=4_000.0)
LONG_AGO = -1e9
MAX_BYTES = 1_000


def lease_manager(
    *peers: str, nodes: int = 2, terms: LeaseTerms = TERMS, seed: int = 1, names=(QUOTA,), log_event=None
) -> LeaseManager:
    """Create a manager of limits with these names that started long ago."""
    limits = tuple(FleetLimit(name, 100.0 * nodes, "requests a second", nodes, terms) for name in names)
    return LeaseManager(
        peers, limits, 2_000.0, LONG_AGO, random.Random(seed), log_event or (lambda event, **fields: None)
    )


def process(name: str) -> SimpleNamespace:
    """A stand-in for the member that the membership passes for a process."""
    return SimpleNamespace(name=name, incarnation=1)


def deliver_payload(
    now: float, source: tuple[str, LeaseManager], target: tuple[str, LeaseManager], max_bytes: int = MAX_BYTES
) -> None:
    """Deliver the payload of `source` to `target`, if there is one."""
    data = source[1].payload_for(now, process(target[0]), max_bytes)
    if data is not None:
        target[1].receive_payload(now, source[0], 1, now, data)


def exchange(now: float, a: tuple[str, LeaseManager], b: tuple[str, LeaseManager], times: int = 4) -> None:
    """Let both tick and exchange their payloads, `times` times."""
    for _ in range(times):
        for manager in (a[1], b[1]):
            manager.tick(now)
        deliver_payload(now, a, b)
        deliver_payload(now, b, a)


def two_managers(demand_a: float = 1.8, demand_b: float = 0.2, **changes):
    """Two named managers that are peers of each other, with these demands."""
    a = "a", lease_manager("b", **changes)
    b = "b", lease_manager("a", **changes)
    a[1].set_demand(QUOTA, demand_a)
    b[1].set_demand(QUOTA, demand_b)
    return a, b


# Requests, renewals and releases


def test_usable_when_a_node_needs_more_grows_by_what_another_does_not_need():
    a, b = two_managers()
    for now in range(0, 3_000, 50):
        exchange(now, a, b, 1)
    assert a[1].usable(QUOTA, 3_000) == pytest.approx(1.72)
    assert b[1].usable(QUOTA, 3_000) == pytest.approx(0.28)
    # The grantor keeps its demand and a reserve: 0.2 x 1.15 + 0.05.
    assert a[1].counts["granted"] >= 3  # in several leases


def test_lease_while_needed_is_renewed_and_then_released():
    a, b = two_managers()
    for now in range(0, 30_000, 50):
        exchange(now, a, b, 1)
    assert a[1].usable(QUOTA, 30_000) == pytest.approx(1.72)
    assert a[1].counts["renewed"] > 10
    a[1].set_demand(QUOTA, 0.5)
    exchange(30_000, a, b)
    assert a[1].usable(QUOTA, 30_000) < 1.1
    assert b[1].usable(QUOTA, 30_000) > 0.9
    assert a[1].counts["given_back"] > 0


def test_account_after_leases_were_released_retains_nothing_of_them():
    a, b = two_managers()
    for now in range(0, 60_000, 50):
        a[1].set_demand(QUOTA, 1.8 if now // 6_000 % 2 else 0.1)
        exchange(now, a, b, 1)
    account = a[1].accounts[QUOTA]
    assert a[1].counts["given_back"] > 10
    assert a[1].counts["renewed"] > 10
    current = set(account.allocation.acquired)
    assert set(account.renewal_sent_at) | set(account.grantor_incarnations) | account.unrenewable <= current
    assert set(account.allocation.requested) <= current | set(account.pending)


def test_grantor_when_it_needs_its_entitlement_again_has_it_at_the_expiry():
    a, b = two_managers()
    for now in range(0, 5_000, 50):
        exchange(now, a, b, 1)
    b[1].set_demand(QUOTA, 1.0)
    for now in range(5_000, int(5_000 + TERMS.grantor_lease_ms) + 100, 50):
        exchange(now, a, b, 1)
        assert a[1].usable(QUOTA, now) + b[1].usable(QUOTA, now) <= 2 + 1e-9
    assert b[1].usable(QUOTA, now) == 1.0 == a[1].usable(QUOTA, now)
    assert b[1].counts["refused_need"] > 0
    assert a[1].counts["expired"] > 0


def test_leases_when_demand_varies_by_a_tenth_do_not_move():
    a, b = two_managers(demand_a=1.3, demand_b=0.3)
    rng = random.Random(3)
    lease_changes = []
    for now in range(0, 40_000, 50):
        a[1].set_demand(QUOTA, 1.3 * rng.uniform(0.9, 1.1))
        b[1].set_demand(QUOTA, 0.3 * rng.uniform(0.9, 1.1))
        exchange(now, a, b, 1)
        lease_changes.append((a[1].counts["granted"], a[1].counts["given_back"]))
    assert lease_changes[200] == lease_changes[-1]
    assert lease_changes[-1][0] > 0


def test_request_when_nobody_answers_is_retried_and_then_canceled():
    a, b = two_managers()
    b[1].tick(0.0)
    deliver_payload(0.0, b, a)  # the offer
    sent = []
    for now in range(0, int(RETRY_INTERVAL_MS) * (MAX_REQUEST_ATTEMPTS + 2), 50):
        a[1].tick(now)
        if (data := a[1].payload_for(now, process("b"), MAX_BYTES)) is not None:
            sent += [limit_message.message for limit_message in decode(data).messages]
    ids = {message.lease_id for message in sent}
    assert [type(message) for message in sent if message.lease_id == min(ids)] == [
        *[LeaseRequest] * MAX_REQUEST_ATTEMPTS,
        LeaseRelease,
    ]
    assert a[1].counts["unanswered"] == len(ids)
    assert not a[1].accounts[QUOTA].pending
    late_grant = encode(
        LeasePayload(
            0.0,
            (),
            (LimitMessage(a[1].accounts[QUOTA].limit.digest, LeaseGrant(1, MAX_LEASE_UNITS, 0.0)),),
        )
    )
    a[1].receive_payload(2_000.0, "b", 1, 2_000.0, late_grant)
    assert a[1].usable(QUOTA, 2_000.0) == 1.0


def test_request_when_denied_is_closed_and_the_offer_dropped():
    a, b = two_managers()
    b[1].tick(0.0)
    deliver_payload(0.0, b, a)
    a[1].tick(0.0)
    b[1].set_demand(QUOTA, 2.0)
    deliver_payload(0.0, a, b)
    deliver_payload(0.0, b, a)
    account = a[1].accounts[QUOTA]
    assert a[1].counts["denied"] >= 1
    assert not account.pending
    assert not account.offers
    assert b[1].counts["refused_need"] >= 1
    assert b[1].usable(QUOTA, 0.0) == 1.0


def test_request_when_the_grantor_has_not_counted_its_processes_for_long_is_not_granted():
    """Guards against a grant by a process that was stopped while another one of its node started."""
    a, b = two_managers()
    b[1].is_process_count_current = lambda: False
    exchange(0.0, a, b)
    assert b[1].usable(QUOTA, 0.0) == a[1].usable(QUOTA, 0.0) == 1.0
    assert b[1].counts["refused_count"] > 0
    b[1].is_process_count_current = lambda: True
    for now in (RETRY_INTERVAL_MS, 2 * RETRY_INTERVAL_MS):
        exchange(now, a, b)
    assert a[1].usable(QUOTA, 2 * RETRY_INTERVAL_MS) > 1.0


def test_process_count_when_it_is_the_same_again_is_not_logged():
    """Guards against `leases_process_left` in the log at each reload."""
    events = []
    manager = lease_manager("b", log_event=lambda event, **fields: events.append((event, fields["count"])))
    for count in (1, 2, 2, 3, 1, 1):
        manager.process_count_changed(0.0, count)
    assert events == [
        ("leases_process_joined", 2),
        ("leases_process_joined", 3),
        ("leases_process_left", 1),
    ]


def test_offers_when_there_are_several_are_chosen_at_random_and_expire():
    chosen = set()
    for seed in range(20):
        manager = lease_manager("x", "y", "z", nodes=4, seed=seed)
        manager.set_demand(QUOTA, 1.2)
        digest = manager.accounts[QUOTA].limit.digest
        for name in "xyz":
            manager.receive_payload(0.0, name, 1, 0.0, encode(LeasePayload(0.0, (LeaseOffer(digest, 400),))))
        manager.tick(10.0)
        chosen |= {name for name, _ in manager.receivers()}
    assert chosen == {"x", "y", "z"}
    with_old_offer = lease_manager("x")
    with_old_offer.set_demand(QUOTA, 2.0)
    with_old_offer.receive_payload(
        0.0, "x", 1, -10_001.0, encode(LeasePayload(0.0, (LeaseOffer(digest, 400),)))
    )
    with_old_offer.tick(0.0)
    assert not with_old_offer.receivers()


def test_demand_of_floors_when_peers_report_rates_follows_the_local_rate():
    manager = lease_manager("b", "c", nodes=3, names=(FLOORS,))
    manager.requests_per_s = 300.0
    manager.tick(0.0)
    assert manager.accounts[FLOORS].demand == EVEN_FRACTION_UNITS  # no peer has reported its rate
    for name, requests_per_s in (("b", 30.0), ("c", 60.0)):
        manager.receive_payload(0.0, name, 1, 0.0, encode(LeasePayload(requests_per_s)))
    manager.tick(50.0)
    assert manager.accounts[FLOORS].demand == pytest.approx(EVEN_FRACTION_UNITS * 300 / 130)
    manager.tick(30_000.0)
    assert manager.accounts[FLOORS].demand == EVEN_FRACTION_UNITS


# Permits


def test_permits_when_in_use_are_neither_granted_nor_released():
    terms = LeaseTerms(EVEN_FRACTION_UNITS, floor=250, lease_ms=6_000.0, completion_ms=2_500.0)
    a, b = two_managers(terms=terms)
    in_use = {"a": 0.0, "b": 0.9}
    for name, manager in (a, b):
        manager.track_usage(QUOTA, lambda name=name: in_use[name])
    for now in range(0, 1_000, 50):
        exchange(now, a, b, 1)
    assert b[1].usable(QUOTA, 1_000) >= 0.9  # its demand is 0.2, but 0.9 are in use
    in_use["b"] = 0.0
    for now in range(1_000, 2_000, 50):
        exchange(now, a, b, 1)
    assert a[1].usable(QUOTA, 2_000) > 1.6
    in_use["a"] = 1.6
    a[1].set_demand(QUOTA, 0.0)
    exchange(2_000, a, b)
    assert a[1].usable(QUOTA, 2_000) >= 1.6
    a[1].begin_shutdown(2_000)
    assert a[1].usable(QUOTA, 2_000) >= 1.6
    in_use["a"] = 0.0
    exchange(2_050, a, b)
    assert a[1].usable(QUOTA, 2_050) <= 1.0
    assert b[1].usable(QUOTA, 2_050) >= 1.0


def test_acquired_permit_within_completion_time_of_its_expiry_is_not_usable():
    terms = LeaseTerms(EVEN_FRACTION_UNITS, floor=250, lease_ms=6_000.0, completion_ms=2_500.0)
    a, b = two_managers(terms=terms)
    exchange(0.0, a, b)
    assert a[1].usable(QUOTA, 3_499.0) > 1 == a[1].usable(QUOTA, 3_500.0)
    assert b[1].usable(QUOTA, 6_000.0) < 1 == b[1].usable(QUOTA, terms.grantor_lease_ms)
    with pytest.raises(
        LeaseTermsError, match="completion_ms 6000 must be from 0 to under the lease_ms of 6000"
    ) as caught:
        LeaseTerms(EVEN_FRACTION_UNITS, 250, 6_000.0, completion_ms=6_000.0)
    assert isinstance(caught.value, ValueError)


# Messages


def test_messages_when_the_limits_size_differs_are_rejected_and_logged_once():
    events = []
    a = "a", lease_manager("b", log_event=lambda event, **fields: events.append((event, fields)))
    for other in (
        lease_manager("a", nodes=3),
        lease_manager("a", terms=LeaseTerms(EVEN_FRACTION_UNITS, 250, 5_000.0)),
    ):
        other.set_demand(QUOTA, 3.0)
        digest = other.accounts[QUOTA].limit.digest
        messages = (
            LimitMessage(digest, LeaseRequest(1, 100, 0.0)),
            LimitMessage(digest, LeaseGrant(2, 100, 0.0)),
        )
        a[1].receive_payload(
            0.0, "b", 1, 0.0, encode(LeasePayload(0.0, (LeaseOffer(digest, 500),), messages))
        )
    assert a[1].counts["refused_terms"] == 4
    assert events == [("lease_terms_differ", {"peer": "b"})]
    assert a[1].usable(QUOTA, 0.0) == 1.0
    assert not a[1].accounts[QUOTA].offers


def test_digest_when_name_size_nodes_or_terms_differ_differs():
    digests = {
        FleetLimit(name, total, "requests a second", nodes, terms).digest
        for name in ("a", "b")
        for total in (10.0, 10.5)
        for nodes in (2, 3)
        for terms in (
            TERMS,
            LeaseTerms(EVEN_FRACTION_UNITS, 250, 4_001.0),
            LeaseTerms(EVEN_FRACTION_UNITS, 250, completion_ms=1.0),
        )
    }
    assert len(digests) == 24
    limit = FleetLimit("a", 1.0, "requests a second", 2, TERMS)
    other_floor = replace(limit, terms=LeaseTerms(EVEN_FRACTION_UNITS, 900))
    assert limit.digest == other_floor.digest  # each process chooses its own floor


@settings(derandomize=True, deadline=None)
@given(
    st.binary(max_size=200)
    | st.builds(lambda payload: encode(payload)[:-1], st.builds(LeasePayload, st.just(1.0)))
)
def test_payload_when_malformed_is_counted_and_changes_nothing(data):
    manager = lease_manager("b")
    manager.receive_payload(0.0, "b", 1, 0.0, data)
    manager.receive_payload(0.0, "stranger", 1, 0.0, encode(LeasePayload(1.0)))
    assert manager.counts["malformed"] >= 1
    assert manager.usable(QUOTA, 0.0) == 1.0


def test_payload_when_many_messages_are_queued_fits_its_size_and_the_queue_is_bounded():
    names = tuple(f"quota {i}" for i in range(100))
    manager = lease_manager("b", names=names)
    for name in names:
        manager.set_demand(name, 0.0)
    for account in manager.accounts.values():
        for lease_id in range(3):
            manager.receive(account, ProcessId("b", 1), LeaseRequest(lease_id, 100, 1.0), 0.0)
    assert manager.receivers() == [("b", 1)]
    assert len(manager._outbox.queued_for(ProcessId("b", 1))) <= MAX_MESSAGES
    for max_bytes in (10, 40, 200, 1_000):
        data = manager.payload_for(0.0, process("b"), max_bytes)
        assert data is None or len(data) <= max_bytes
    assert manager.payload_for(0.0, process("b"), 1_000) is not None
    manager.drop_messages(ProcessId("b", 1))
    assert not manager.receivers()


def test_estimators_when_demand_changes_rise_quickly_and_fall_slowly():
    rate = RequestRate(0.0)
    peak = RecentPeak(0.0)
    for now in range(50, 3_050, 50):
        rate.add(5)
        rate.update(now)
        peak.update(now, 7.0)
    risen = rate.per_s
    for now in range(3_050, 6_050, 50):
        rate.update(now)
        peak.update(now, 0.0)
    assert 80 <= risen <= 101
    assert 0.2 * risen < rate.per_s < 0.7 * risen
    assert 3 < peak.value < 7


# Processes over faulty links, in virtual time


def uneven_fleet(count: int, seed: int, **options) -> LeaseProcesses:
    """Create nodes of which every other one, from the first on, needs 1.8 even fractions and the rest 0.2."""
    fleet = LeaseProcesses(count, seed, TERMS, drift=0.01, **options)
    for i, name in enumerate(fleet.names):
        fleet.set_demand(name, 0.2 if i % 2 else 1.8)
    return fleet


def mean_busy_usable(fleet: LeaseProcesses) -> float:
    """Amount that the nodes with the higher demand may use on average, in even fractions."""
    return sum(fleet.usable(name) for name in fleet.names[::2]) / len(fleet.names[::2])


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_ten_nodes_when_half_are_idle_lease_most_of_their_fractions_to_the_others(loss):
    fleet = uneven_fleet(10, 1, link=Link(loss=loss, jitter_ms=2.0))
    fleet.run(5_000)
    assert all(fleet.usable(name) <= 1.0 for name in fleet.names[1::2])
    fleet.run(15_000)
    assert mean_busy_usable(fleet) > 1.55
    assert not fleet.violations
    assert min(fleet.usable(name) for name in fleet.names[::2]) > 1.2  # each of them has acquired leases


def test_usable_when_every_link_is_cut_from_the_start_is_the_even_fraction():
    fleet = uneven_fleet(6, 2)
    fleet.cut(fleet.names, fleet.names)
    fleet.run(5_000)
    for _ in range(20):
        fleet.run(1_000)
        assert {fleet.usable(name) for name in fleet.names} == {1.0}


def test_third_of_the_nodes_when_cut_off_has_its_even_fractions_and_leases_among_itself():
    fleet = uneven_fleet(9, 3)
    fleet.run(10_000)
    third = fleet.names[:3]
    fleet.cut(third, fleet.names[3:])
    fleet.run(2 * TERMS.grantor_lease_ms)
    for _ in range(5):
        fleet.run(1_000)
        assert sum(fleet.usable(name) for name in third) >= 3 - 1e-9
        assert sum(fleet.usable(name) for name in fleet.names[3:]) >= 6 - 1e-9
    assert not fleet.violations


def test_node_when_shutting_down_grants_its_entitlement_and_releases_its_leases():
    fleet = uneven_fleet(6, 4)
    fleet.run(10_000)
    before = mean_busy_usable(fleet)
    fleet.leave("n1")
    fleet.run(500)
    assert mean_busy_usable(fleet) >= before
    fleet.leave("n0")
    fleet.run(TERMS.grantor_lease_ms)  # the leases have expired by then, even if a release was lost
    assert all(peer[0] != "n0" for name in fleet.names[2:] for peer, _ in granted_leases(fleet, name))
    assert not fleet.violations


def granted_leases(fleet: LeaseProcesses, name: str):
    """The leases that a node has granted."""
    return fleet.manager(name).accounts[QUOTA].allocation.granted


def test_nodes_when_all_restart_at_once_have_their_floors_and_then_lease_again():
    fleet = uneven_fleet(6, 5)
    fleet.run(10_000)
    for name in fleet.names:
        fleet.kill(name)
        fleet.start(name)
    assert {fleet.usable(name) for name in fleet.names} == {0.25}
    fleet.run(TERMS.grantor_lease_ms + 100)
    assert fleet.usable_sum() > 5
    assert not fleet.violations
    fleet.run(15_000)
    assert mean_busy_usable(fleet) > 1.55
    assert not fleet.violations


@pytest.mark.parametrize("seed", range(1, 5))
def test_usable_sum_on_a_random_run_with_faults_never_exceeds_the_limit(seed):
    """benchmarks/budget_days.py does five hundred runs."""
    run = random_run(seed, 8, 20_000.0)
    assert not run.violations
    assert run.granted_count > 0


@pytest.mark.parametrize("defect", [CreditBeforeDebit, LeasesForgotten, LeaseFromArrival])
def test_usable_sum_with_a_planted_defect_exceeds_the_limit_on_some_run(defect):
    assert any(random_run(seed, 6, 20_000.0, defect).violations for seed in range(1, 9))
