"""Data written by the previous version is read correctly: datagrams, lease messages, traces, kept scenarios.

The messages, the trace, the kept scenario and the snapshot in `tests/fixtures` were written by commit
3453447, before its names were changed. Messages are compared field by field, in the order of their encoding.
The parsed configurations and the directory of a search were written by commit a3571a2, before the next
change of names.
"""

import dataclasses
import enum
import fcntl
import json
import os
import shutil
from collections.abc import Mapping

import msgspec
import pytest
from support.network import ManualClock, log_and_counters
from support.paths import ROOT

from flintridge.config.loader import load_config
from flintridge.lab.experiment.output import json_text
from flintridge.lab.experiment.search_directory import SearchDirectory
from flintridge.lab.experiment.search_results import SearchResult
from flintridge.lab.load import trace
from flintridge.lab.scenario.load import load
from flintridge.leases import messages as lease_messages
from flintridge.membership.messages import MessageCodec
from flintridge.replication import messages as replication_messages
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.replica import Replica
from flintridge.runtime.worker_processes import COUNT_INTERVAL_MS, WorkerProcesses

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


def values_of(value: object) -> object:
    """Convert a configuration to lists of its values, in the order of its fields."""
    match value:
        case enum.Enum():
            return value.value
        case Mapping():
            return {str(key): values_of(item) for key, item in value.items()}
        case frozenset():
            return sorted(value)
        case list() | tuple():
            return [values_of(item) for item in value]
    if dataclasses.is_dataclass(value):
        return [values_of(getattr(value, field.name)) for field in dataclasses.fields(value)]
    return plain(value)


@pytest.mark.parametrize("name", ["platform_config.json", "node_config.toml"])
def test_configurations_of_the_version_before_are_read_as_they_were_meant(name):
    config = load_config({"PROXY_CONFIG": str(FIXTURES / name)})
    assert values_of(config) == json.loads((FIXTURES / "configurations.json").read_text())[name]


def test_a_search_of_the_version_before_is_continued_and_its_results_are_written_alike(tmp_path):
    path = shutil.copytree(FIXTURES / "search", tmp_path / "search")
    found = SearchDirectory(path).open(seed=3)
    (run,) = found.runs
    assert (run.number, run.name, run.seed, found.sound) == (0, "found-3-000000", 851812951, True)
    text = (path / "days" / "000000.json").read_bytes()
    assert json_text(msgspec.to_builtins(msgspec.json.decode(text, type=SearchResult))) == text


def test_a_process_of_the_version_before_is_counted_by_its_lock_and_precedes_this_one(tmp_path):
    descriptor = os.open(tmp_path / "4-17-0", os.O_RDWR | os.O_CREAT)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    log, _ = log_and_counters()
    clock = ManualClock()
    processes = WorkerProcesses(str(tmp_path), clock, log, lambda count: None)
    processes.start()
    assert (processes.count, processes.index_of_other()) == (2, 0)
    assert sorted(os.listdir(tmp_path)) == ["4-17-0", f"5-{os.getpid()}-0"]
    os.close(descriptor)
    clock.advance(COUNT_INTERVAL_MS)
    assert processes.count == 1
    processes.close()
