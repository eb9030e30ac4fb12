"""Datagrams that are dropped, skipped or counted."""

from collections import Counter
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.membership import KEY, make_detector, make_message
from support.network import FIXED

from flintridge.membership.admin_view import _counts
from flintridge.membership.failure_detector import MAX_DATAGRAMS_IN_PER_S
from flintridge.membership.messages import MessageCodec


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "foreign"),
        (b"GET / HTTP/1.1\r\n\r\n" + bytes(100), "foreign"),
        (b"FP\x02" + bytes(100), "version"),
        (b"FP\x01" + bytes(2000), "long"),
        (b"FP\x01" + bytes(100), "malformed"),
        (MessageCodec("fleet", None).encode(make_message(fleet="other")), "fleet"),
        (MessageCodec("fleet", None).encode(make_message(incarnation=7, name="n2")), "own"),
    ],
)
def test_receive_when_bytes_are_no_datagram_of_this_fleet_drops_and_counts_them(data, reason):
    machine = make_detector()
    machine.receive(1.0, data)
    assert machine.counters[f"dropped_{reason}"] == 1
    assert not machine.take_datagrams()
    assert not list(machine.table)


def test_receive_when_the_authentication_tag_is_wrong_drops_the_datagram():
    machine = make_detector(key=KEY)
    good = MessageCodec("fleet", KEY).encode(make_message())
    machine.receive(1.0, MessageCodec("fleet", None).encode(make_message()))
    machine.receive(1.0, MessageCodec("fleet", b"x" * 32).encode(make_message()))
    machine.receive(1.0, good[:-1] + bytes([good[-1] ^ 1]))
    assert machine.counters["dropped_unauthenticated"] == 3
    assert not machine.take_datagrams()
    machine.receive(1.0, good)
    assert [datagram.name for datagram in machine.take_datagrams()] == ["n1"]
    machine.receive(1.0, good)
    assert machine.counters["dropped_replayed"] == 1
    assert not machine.take_datagrams()


@FIXED
@given(st.lists(st.binary(max_size=200), max_size=8), st.binary(max_size=60), st.integers(0, 400))
def test_receive_when_bytes_are_arbitrary_raises_nothing_and_adds_no_member(datagrams, noise, cut):
    machine = make_detector(key=KEY)
    good = MessageCodec("fleet", KEY).encode(make_message())
    for i, data in enumerate([*datagrams, good[: cut % len(good)] + noise, b"FP\x01" + noise]):
        machine.receive(float(i), data)
        machine.tick(float(i))
    assert len(list(machine.table)) == 0


def test_receive_when_datagrams_exceed_the_rate_drops_them_before_decoding():
    machine = make_detector()
    data = MessageCodec("fleet", None).encode(make_message(name="n9"))
    for _ in range(5000):
        machine.receive(1.0, data)
    assert machine.counters["dropped_unknown"] == MAX_DATAGRAMS_IN_PER_S
    assert machine.counters["dropped_flood"] == 5000 - MAX_DATAGRAMS_IN_PER_S


def test_receive_when_topic_or_kind_or_field_is_unknown_skips_and_counts_it():
    machine, codec = make_detector(), MessageCodec("fleet", None)
    machine.tick(300.0)
    (datagram,) = machine.take_datagrams()
    sent_at = codec.decode(datagram.data).sent_at
    machine.receive(
        310.0,
        codec.encode(
            make_message(kind=77, target_incarnation=7, echoed_sent_at=sent_at, payloads=(("novel", b"x"),))
        ),
    )
    assert machine.counters["payloads_unknown"] == 1
    assert machine.counters["kinds_unknown"] == 1
    longer = msgspec.msgpack.encode([*msgspec.to_builtins(make_message(sequence=2)), "of a later version"])
    machine.receive(311.0, b"FP\x01" + longer)
    assert machine.counters["dropped_malformed"] == 0


def test_admin_view_when_counters_have_new_names_keeps_the_fields_that_others_read():
    detector = SimpleNamespace(
        counters=Counter({"dropped_unauthenticated": 2, "bytes_in": 7, "payloads_unknown": 1})
    )
    assert list(_counts(detector).items()) == [("bytes_in", 7), ("dropped_unsealed", 2), ("facts_unknown", 1)]
