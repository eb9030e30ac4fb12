"""Data written by the previous version is read correctly: datagrams, lease messages, traces, kept scenarios.

The files in `tests/fixtures` were written by commit 3453447, before its names were changed. Messages are
compared field by field, in the order of their encoding.
"""

import json

import msgspec
import pytest
from support.paths import ROOT

from flintridge.lab.load import trace
from flintridge.lab.scenario.load import load
from flintridge.leases import messages as lease_messages
from flintridge.membership.messages import MessageCodec
from flintridge.replication import messages as replication_messages
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.replica import Replica

FIXTURES = ROOT / "tests" / "fixtures"
PEER_MESSAGES = json.loads((FIXTURES / "peer_messages.json").read_text())
TRACE_LINES = (FIXTURES / "trace.jsonl").read_bytes().splitlines(keepends=True)


def plain(value: object) -> object:
    """Convert a message to lists, numbers and text, with bytes in the fixtures' notation."""
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    return value


def fields_of(message: object) -> object:
    return plain(msgspec.to_builtins(message, builtin_types=(bytes,)))


@pytest.mark.parametrize("fixture", PEER_MESSAGES["datagrams"], ids=lambda fixture: fixture["hex"][-8:])
def test_datagrams_of_the_previous_version_are_read_and_written_unchanged(fixture):
    codec = MessageCodec(PEER_MESSAGES["fleet"], PEER_MESSAGES["key"].encode())
    data = bytes.fromhex(fixture["hex"])
    message = codec.decode(data)
    assert fields_of(message) == fixture["packet"]
    assert codec.encode(message) == data


def lease_message_fields(limit_message: lease_messages.LimitMessage) -> list[object]:
    """Fields in the previous version's order: limit, kind, lease, amount, request time, usable units."""
    digest = plain(limit_message.limit_digest)
    match limit_message.message:
        case lease_messages.LeaseRequest(lease_id, amount, requested_at, usable):
            return [digest, 0, lease_id, amount, requested_at, usable]
        case lease_messages.LeaseGrant(lease_id, amount, requested_at):
            return [digest, 1, lease_id, amount, requested_at, 0]
        case lease_messages.LeaseRelease(lease_id):
            return [digest, 2, lease_id, 0, 0.0, 0]


@pytest.mark.parametrize("fixture", PEER_MESSAGES["lease_messages"], ids=lambda fixture: fixture["hex"][-8:])
def test_lease_messages_of_the_previous_version_are_read_and_written_unchanged(fixture):
    data = bytes.fromhex(fixture["hex"])
    fact = lease_messages.decode(data)
    offers = [[plain(offer.limit_digest), offer.amount] for offer in fact.offers]
    messages = [lease_message_fields(message) for message in fact.messages]
    assert [fact.requests_per_s, offers, messages] == fixture["message"]
    assert lease_messages.encode(fact) == data


def test_traces_of_the_previous_version_are_read_and_written_unchanged(tmp_path):
    requests = trace.read(FIXTURES / "trace.jsonl", load("calm"))
    assert trace.write(tmp_path / "again.jsonl", requests) == len(TRACE_LINES) == 40
    assert (tmp_path / "again.jsonl").read_bytes() == b"".join(TRACE_LINES)


def test_kept_scenarios_of_the_previous_version_are_read_with_their_meaning():
    day = load(FIXTURES / "kept_day.toml")
    parsed = json.loads(msgspec.json.encode(day))
    assert parsed == json.loads((FIXTURES / "kept_day_parsed.json").read_text())


def test_a_replica_applies_a_snapshot_of_the_previous_version_and_has_the_same_digest():
    fixture = json.loads((FIXTURES / "replication_snapshot.json").read_text())
    received = replication_messages.decode_chunk(
        [bytes.fromhex(text) for text in fixture["chunks"]], fixture["as_of_ms"]
    )
    source, chunk = received.source, received.chunk
    assert list(source) == fixture["source"]
    replica = Replica(("n2", 9), ReplicaLimits(), 0.0, time_of_day_offset=fixture["offset_ms"])
    request = replica.next_request(source)
    assert replication_messages.encode_request(request).hex() == fixture["request"]
    assert replica.apply_chunk(fixture["as_of_ms"], source, chunk)
    assert replica.root() == fixture["root"]
    assert sorted(map(list, replica.entries)) == fixture["keys"]
    for key, entry in replica.entries.items():
        versions = fixture["versions"][f"{key[0]}/{key[1]}"]
        bodies = [
            (version.body.hex(), version.author, version.reason, version.deleted)
            for version in entry.versions
        ]
        assert bodies == [(one["body"], one["by"], one["why"], one["deleted"]) for one in versions]
