"""What the version before wrote is read as it meant it: datagrams, lease messages, traces, kept days.

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
    """A message as lists, numbers and text, with bytes as the fixtures have them."""
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    return value


def fields_of(message: object) -> object:
    return plain(msgspec.to_builtins(message, builtin_types=(bytes,)))


@pytest.mark.parametrize("fixture", PEER_MESSAGES["datagrams"], ids=lambda fixture: fixture["hex"][-8:])
def test_datagrams_of_the_version_before_are_read_and_written_alike(fixture):
    codec = MessageCodec(PEER_MESSAGES["fleet"], PEER_MESSAGES["key"].encode())
    data = bytes.fromhex(fixture["hex"])
    message = codec.decode(data)
    assert fields_of(message) == fixture["packet"]
    assert codec.encode(message) == data


@pytest.mark.parametrize("fixture", PEER_MESSAGES["lease_messages"], ids=lambda fixture: fixture["hex"][-8:])
def test_lease_messages_of_the_version_before_are_read_and_written_alike(fixture):
    data = bytes.fromhex(fixture["hex"])
    message = lease_messages.decode(data)
    assert fields_of(message) == fixture["message"]
    assert lease_messages.encode(message) == data


def test_traces_of_the_version_before_are_read_and_written_alike(tmp_path):
    requests = trace.read(FIXTURES / "trace.jsonl", load("calm"))
    assert trace.write(tmp_path / "again.jsonl", requests) == len(TRACE_LINES) == 40
    assert (tmp_path / "again.jsonl").read_bytes() == b"".join(TRACE_LINES)


def test_kept_days_of_the_version_before_are_read_as_they_were_meant():
    day = load(FIXTURES / "kept_day.toml")
    parsed = json.loads(msgspec.json.encode(day))
    assert parsed == json.loads((FIXTURES / "kept_day_parsed.json").read_text())


def test_a_replica_takes_a_snapshot_of_the_version_before_and_agrees_on_its_digest():
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
