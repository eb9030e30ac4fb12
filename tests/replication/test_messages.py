"""Messages between replicas: round trips, bytes on the wire, and malformed bytes."""

import math

import pytest
from support.replication import KEY, make_replica

from flintridge.replication.comparison import DigestRequest, SnapshotChunk
from flintridge.replication.entry import Entry, VectorComponent, Version
from flintridge.replication.messages import (
    GossipMessage,
    decode_chunk,
    decode_gossip,
    decode_request,
    encode_chunk,
    encode_gossip,
    encode_request,
    make_entry,
    parse_entry,
)

DIGESTS = (0, 1 << 62)


def test_entry_when_decoded_has_its_times_on_the_receivers_clock():
    replica = make_replica("a")
    replica.write(100.0, KEY, b"\x80", "ann", "why", lifetime_ms=500.0)
    key, entry = parse_entry(make_entry(KEY, replica.entries[KEY], 150.0), as_of=1_000.0)
    version = entry.versions[0]
    assert key == KEY
    assert version.written_at == 950.0
    assert version.expires_at() == 1_450.0


def test_request_and_chunk_when_decoded_are_unchanged():
    source = make_replica("a")
    source.write(100.0, KEY, b"\x80", "ann", "why", lifetime_ms=500.0)
    source.write(100.0, ("later", "x"), b"\xc1", "ann", "why")
    request = make_replica("b").next_request(source.writer)
    assert decode_request(encode_request(request)) == request
    chunk = source.make_chunk(request)
    received = decode_chunk(encode_chunk(source.writer, chunk, 100.0), as_of=100.0)
    assert received.source == source.writer
    assert received.chunk == chunk
    assert received.chunk.entries[1][1].versions[0].lifetime_ms == math.inf


def test_messages_when_encoded_have_the_bytes_that_other_releases_read():
    version = Version((("n1", 7), 3), 40.0, 9, b"\x80", "ann", "why", 500.0, deleted=True)
    entry = Entry((version,), (VectorComponent(("n1", 7), 3, 40.0),))
    on_wire = bytes.fromhex(
        "94a4686f6c64a27331919aa26e3107033c09c40180a3616e6ea3776879cb407f400000000000c39194a26e3107033c"
    )
    rumor = make_entry(KEY, entry, 100.0)
    gossip = GossipMessage(root=5, synchronized=True, entries=(rumor,), acknowledged=(2,), write_count=4)
    assert encode_gossip(gossip) == b"\x95\x05\xc3\x91" + on_wire + b"\x91\x02\x04"
    assert encode_request(DigestRequest(DIGESTS, 1, 6)).hex() == "939200cf40000000000000000106"
    chunk = SnapshotChunk(6, 1, 2, True, ((("n1", 7), 3),), ((KEY, entry),), (1,))
    header = bytes.fromhex("98a26e3207060102c39193a26e3107039101")
    assert encode_chunk(("n2", 7), chunk, 100.0) == [header, b"\x91" + on_wire]


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x90", b"\x92\xff\xc3", b"\x93\x01\xc3\xa1x"])
def test_bytes_when_malformed_decode_to_none(data):
    assert decode_gossip(data) is None
    assert decode_request(data) is None
    assert decode_chunk([data], 0.0) is None
    assert decode_chunk([], 0.0) is None
