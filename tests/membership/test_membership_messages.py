"""Datagrams that are dropped, ignored in part, or counted."""

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
def test_receive_when_bytes_are_not_a_datagram_of_this_fleet_then_drops_and_counts_them(data, reason):
    detector = make_detector()
    detector.receive(1.0, data)
    assert detector.counters[f"dropped_{reason}"] == 1
    assert not detector.take_datagrams()
    assert not list(detector.table)


def test_receive_when_the_authentication_tag_is_wrong_drops_the_datagram():
    detector = make_detector(key=KEY)
    good = MessageCodec("fleet", KEY).encode(make_message())
    detector.receive(1.0, MessageCodec("fleet", None).encode(make_message()))
    detector.receive(1.0, MessageCodec("fleet", b"x" * 32).encode(make_message()))
    detector.receive(1.0, good[:-1] + bytes([good[-1] ^ 1]))
    assert detector.counters["dropped_unauthenticated"] == 3
    assert not detector.take_datagrams()
    detector.receive(1.0, good)
    assert [datagram.name for datagram in detector.take_datagrams()] == ["n1"]
    detector.receive(1.0, good)
    assert detector.counters["dropped_replayed"] == 1
    assert not detector.take_datagrams()


@FIXED
@given(st.lists(st.binary(max_size=200), max_size=8), st.binary(max_size=60), st.integers(0, 400))
def test_receive_when_bytes_are_arbitrary_raises_nothing_and_adds_no_member(datagrams, noise, cut):
    detector = make_detector(key=KEY)
    good = MessageCodec("fleet", KEY).encode(make_message())
    for i, data in enumerate([*datagrams, good[: cut % len(good)] + noise, b"FP\x01" + noise]):
        detector.receive(float(i), data)
        detector.tick(float(i))
    assert len(list(detector.table)) == 0


def test_receive_when_datagrams_exceed_the_rate_drops_them_before_decoding():
    detector = make_detector()
    data = MessageCodec("fleet", None).encode(make_message(name="n9"))
    for _ in range(5000):
        detector.receive(1.0, data)
    assert detector.counters["dropped_unknown"] == MAX_DATAGRAMS_IN_PER_S
    assert detector.counters["dropped_flood"] == 5000 - MAX_DATAGRAMS_IN_PER_S


def test_receive_when_topic_or_kind_or_field_is_unknown_skips_and_counts_it():
    detector, codec = make_detector(), MessageCodec("fleet", None)
    detector.tick(300.0)
    (datagram,) = detector.take_datagrams()
    sent_at = codec.decode(datagram.data).sent_at
    detector.receive(
        310.0,
        codec.encode(
            make_message(kind=77, target_incarnation=7, echoed_sent_at=sent_at, payloads=(("novel", b"x"),))
        ),
    )
    assert detector.counters["payloads_unknown"] == 1
    assert detector.counters["kinds_unknown"] == 1
    longer = msgspec.msgpack.encode([*msgspec.to_builtins(make_message(sequence=2)), "of a later version"])
    detector.receive(311.0, b"FP\x01" + longer)
    assert detector.counters["dropped_malformed"] == 0


def test_admin_view_when_counters_have_new_names_then_keeps_the_fields_of_the_api():
    detector = SimpleNamespace(
        counters=Counter({"dropped_unauthenticated": 2, "bytes_in": 7, "payloads_unknown": 1})
    )
    assert list(_counts(detector).items()) == [("bytes_in", 7), ("dropped_unsealed", 2), ("facts_unknown", 1)]
