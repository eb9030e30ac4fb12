"""The frames of a state exchange."""

import contextlib
import os

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.membership import KEY
from support.network import FIXED

from flintridge.membership.messages import MessageCodec, MessageDroppedError
from flintridge.membership.state_exchange import (
    NONCE_BYTES,
    Chunk,
    Hello,
    Query,
    Rejection,
    StateExchange,
)


def exchange_pair(keys=(KEY, KEY), fleets=("fleet", "fleet")) -> tuple[StateExchange, StateExchange]:
    client = StateExchange(MessageCodec(fleets[0], keys[0]), "n0", 1, os.urandom(NONCE_BYTES), is_client=True)
    server = StateExchange(
        MessageCodec(fleets[1], keys[1]), "n1", 2, os.urandom(NONCE_BYTES), is_client=False
    )
    return client, server


def transfer(source: StateExchange, target: StateExchange, size: int = 0) -> list:
    data = b"".join(source.take_output())
    pieces = [data[i : i + size] for i in range(0, len(data), size)] if size else [data]
    return [frame for piece in pieces for frame in target.receive(piece)]


@pytest.mark.parametrize("size", [0, 1, 7])
@pytest.mark.parametrize("key", [KEY, None])
def test_exchange_when_bytes_arrive_in_any_pieces_then_returns_the_same_frames(size, key):
    client, server = exchange_pair((key, key))
    assert [type(f) for f in transfer(client, server, size)] == [Hello]
    assert server.peer == ("n0", 1)
    assert [type(f) for f in transfer(server, client, size)] == [Hello]
    assert client.peer == ("n1", 2)
    client.send_query("members", b"about")
    assert transfer(client, server, size) == [Query("members", b"about")]
    server.send_chunk(b"one", last=False)
    server.send_chunk(b"two", last=True)
    assert transfer(server, client, size) == [Chunk(b"one", False), Chunk(b"two", True)]


def test_send_rejection_when_the_topic_is_unknown_ends_the_exchange():
    client, server = exchange_pair()
    transfer(client, server), transfer(server, client)
    client.send_query("novel", b"")
    transfer(client, server)
    server.send_rejection("unknown topic novel")
    assert transfer(server, client) == [Rejection("unknown topic novel")]


@pytest.mark.parametrize(("keys", "fleets", "reason"), [
    ((KEY, b"x" * 32), ("fleet", "fleet"), "unauthenticated"),
    ((KEY, KEY), ("fleet", "other"), "fleet"),
])  # fmt: skip
def test_receive_when_the_peer_has_another_key_or_fleet_then_raises(keys, fleets, reason):
    client, server = exchange_pair(keys, fleets)
    with pytest.raises(MessageDroppedError, match=reason):
        transfer(client, server)


def test_receive_when_a_query_is_replayed_or_out_of_order_then_raises():
    client, server = exchange_pair()
    hello = b"".join(client.take_output())
    server.receive(hello)
    client.receive(b"".join(server.take_output()))
    client.send_query("members", b"")
    query = b"".join(client.take_output())
    other_server = StateExchange(
        MessageCodec("fleet", KEY), "n1", 2, os.urandom(NONCE_BYTES), is_client=False
    )
    other_server.receive(hello)
    with pytest.raises(MessageDroppedError, match="unauthenticated"):  # the other server has another nonce
        other_server.receive(query)
    server.receive(query)
    with pytest.raises(MessageDroppedError):
        server.receive(query)


@FIXED
@given(st.binary(max_size=300), st.booleans(), st.integers(0, 120))
def test_receive_when_bytes_are_arbitrary_then_raises_only_dropped_and_stays_small(noise, is_client, cut):
    client, server = exchange_pair()
    side = client if is_client else server
    start = b"FS\x01" if is_client else b"".join(client.take_output())
    with contextlib.suppress(MessageDroppedError):
        side.receive(start[:cut])
        side.receive(noise)
    assert len(side._received) <= 400
