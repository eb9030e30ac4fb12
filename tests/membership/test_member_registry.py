"""The bounds of a member table in memory."""

from random import Random

from support.membership import (
    MAX_AGE_MS,
    SUSPICION_MS,
    all_reachable,
    converged_fleet,
    make_detector,
    make_message,
)

from flintridge.membership.member_registry import MAX_INCARNATIONS, RETENTION_MS
from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import GossipEntry, MemberState, MessageCodec


def test_find_or_add_when_all_incarnations_are_reachable_adds_none():
    table = MemberTable("n0", 1, ("n1",), 0.0, Random(1))
    for incarnation in range(MAX_INCARNATIONS):
        member = table.find_or_add("n1", 100 + incarnation, 0.0)
        table.record_message(member, 0, 0.0, 0.0)
    table.update_reachability(1.0, MAX_AGE_MS)
    assert table.find_or_add("n1", 999, 1.0) is None
    table.update_reachability(MAX_AGE_MS + 2, MAX_AGE_MS)
    assert table.find_or_add("n1", 999, MAX_AGE_MS + 2) is not None


def test_find_or_add_when_incarnations_or_names_are_made_up_then_keeps_the_table_small():
    events = []
    detector = make_detector(log_event=lambda event, **fields: events.append((event, fields.get("reason"))))
    codec = MessageCodec("fleet", None)
    for incarnation in range(100, 300):
        detector.receive(1.0, codec.encode(make_message(incarnation=incarnation)))
        detector.receive(1.0, codec.encode(make_message(name=f"x{incarnation}", incarnation=incarnation)))
    assert len(list(detector.table)) <= MAX_INCARNATIONS
    assert detector.counters["dropped_unknown"] == 200
    assert [reason for event, reason in events if event == "peers_dropped"] == ["unknown"]  # logged once


def test_find_or_add_when_twenty_nodes_restart_often_then_keeps_few_incarnations_and_reaches_all():
    fleet = converged_fleet(20)
    for turn in range(200):
        name = fleet.names[turn % 20]
        fleet.kill(name)
        fleet.run(50)
        fleet.start(name)
        assert all(len(fleet.detector(n).table.members_named(name)) <= MAX_INCARNATIONS for n in fleet.names)
    assert fleet.run(20_000, lambda: all_reachable(fleet)) is not None


def test_remove_expired_when_a_process_ended_long_ago_then_removes_it_and_old_entries_do_not_add_it():
    table = MemberTable("n0", 1, ("n1",), 0.0, Random(1))
    table.record_message(table.find_or_add("n1", 9, 0.0), 0, 0.0, 0.0)
    table.update_reachability(MAX_AGE_MS + 1, MAX_AGE_MS)
    table.remove_expired(RETENTION_MS + 1)
    assert not table.members_named("n1")
    table.merge_entry(
        GossipEntry("n1", 9, 0, MemberState.ALIVE, 60_000),
        RETENTION_MS + 1,
        SUSPICION_MS,
        RETENTION_MS + 1,
        MAX_AGE_MS,
    )
    table.merge_entry(
        GossipEntry("n1", 9, 5, MemberState.LEFT, 0),
        RETENTION_MS + 1,
        SUSPICION_MS,
        RETENTION_MS + 1,
        MAX_AGE_MS,
    )
    assert not table.members_named("n1")
