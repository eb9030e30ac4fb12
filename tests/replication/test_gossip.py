"""Rumors, acknowledgements, and when replicas are compared."""

from random import Random
from types import SimpleNamespace

from support.replication import KEY, make_replica

from flintridge.replication.gossip import RumorSpreader
from flintridge.replication.limits import ReplicaLimits

A = ("a", 1)
B = ("b", 1)
C = ("c", 1)
DATAGRAM_BYTES = 1100


def make_spreaders(*nodes):
    """Create the spreader of each node of a fleet."""
    return {
        node: RumorSpreader(
            make_replica(node, limits=ReplicaLimits(), time_of_day_offset=1e12), nodes, 1e9, Random(1)
        )
        for node in nodes
    }


def message_to(spreader, node, now, max_bytes=DATAGRAM_BYTES):
    return spreader.payload_for(now, SimpleNamespace(name=node, incarnation=1), max_bytes)


def transmit(spreaders, source, target, now, max_bytes=DATAGRAM_BYTES):
    """Deliver a message, if there is one."""
    message = message_to(spreaders[source], target, now, max_bytes)
    if message is not None:
        assert len(message) <= max_bytes
        spreaders[target].receive_payload(now, source, 1, now, message)


def test_write_when_new_is_sent_immediately_and_its_holders_are_counted():
    spreaders = make_spreaders("a", "b", "c")
    a = spreaders["a"]
    dot = a.replica.write(0.0, KEY, b"", "", "").dot
    a.acknowledgements.track(dot)
    assert sorted(a.urgent_targets(0.0, [B, C])) == [B, C]
    transmit(spreaders, "a", "b", 1.0)
    assert spreaders["b"].replica.active_version(KEY, 1.0)
    assert a.acknowledgements.holder_count(dot) == 1
    assert A in spreaders["b"].urgent_targets(1.0, [A, C])
    transmit(spreaders, "b", "c", 1.0)
    transmit(spreaders, "b", "a", 2.0)
    transmit(spreaders, "c", "a", 2.0)
    assert a.acknowledgements.holder_count(dot) == 3
    assert a.acknowledgements.holder_count((dot[0], 9)) is None


def test_entry_when_too_long_for_a_datagram_is_left_to_a_comparison():
    spreaders = make_spreaders("a", "b")
    a = spreaders["a"]
    b = spreaders["b"]
    a.replica.mark_synchronized()
    a.replica.write(0.0, KEY, b"x" * 400, "", "")
    transmit(spreaders, "a", "b", 10.0, max_bytes=100)
    assert not b.replica.entries
    assert b.comparisons.choose_source(10.0, [A]) == A  # b has not synchronized
    b.replica.mark_synchronized()
    assert b.comparisons.choose_source(100.0, [A]) is None
    assert b.comparisons.choose_source(2_000.0, []) is None
    assert b.comparisons.choose_source(2_000.0, [A]) == A
    b.comparisons.finish(2_000.0, A, was_productive=False)
    transmit(spreaders, "a", "b", 4_000.0, max_bytes=100)
    assert b.comparisons.choose_source(7_000.0, [A]) is None  # the source had nothing new


def test_message_when_its_sender_is_not_configured_is_ignored():
    spreaders = make_spreaders("a", "b")
    spreaders["a"].receive_payload(0.0, "x", 1, 0.0, message_to(spreaders["b"], "a", 0.0))
    assert spreaders["a"].counts["messages_malformed"] == 1
