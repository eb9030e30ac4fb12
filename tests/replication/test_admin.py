"""The JSON of /admin/state, whose names are part of the admin API."""

import dataclasses
from random import Random
from types import SimpleNamespace

import msgspec
import orjson
import pytest
from support.replication import KEY, make_replica

from flintridge.core.admin_routes import AdminResponse
from flintridge.replication.admin import PAGE_ENTRIES, ReplicationActivity, StateAdminApi
from flintridge.replication.comparison import SyncState
from flintridge.replication.gossip import RumorSpreader
from flintridge.telemetry.counters import Counters

WRITE = {"type": "hold", "name": "s1", "by": "ann", "why": "disk", "body": {"held": True}}


@pytest.fixture
def api():
    """The admin API of node a at 100 ms, with the node's replica as `replica`."""
    replica = make_replica("a", incarnation=255)
    gossip = RumorSpreader(replica, ("b",), 1e9, Random(1))
    membership = SimpleNamespace(name="a", incarnation=255, reachability=SimpleNamespace(reachable=1))
    clock = SimpleNamespace(now=lambda: 100.0)
    activity = ReplicationActivity(source="b", taken_out=frozenset({"s1"}))
    admin_api = StateAdminApi(replica, gossip, membership, clock, Counters(), lambda: activity)
    admin_api.replica = replica
    return admin_api


def test_query_when_nothing_is_requested_has_the_summary_alone(api):
    response = api.query(b"", b"")
    root = response.fields.pop("root")
    assert response.status == 200
    assert len(root) == 16
    assert list(response.fields.items()) == [
        ("name", "a"),
        ("life", "ff"),
        ("standing", "fresh"),
        ("asking", "b"),
        ("entries", 0),
        ("of", 50),
        ("conflicts", 0),
        ("held", ["s1"]),
        ("heard", 1),
        ("counts", {}),
    ]


@pytest.mark.parametrize(
    ("sync_state", "standing"),
    [
        (SyncState.UNSYNCHRONIZED, "fresh"),
        (SyncState.SYNCHRONIZING, "catching"),
        (SyncState.SYNCHRONIZED, "caught"),
    ],
)
def test_query_in_each_synchronization_state_has_its_public_name(api, sync_state, standing):
    api.replica.synchronization.state = sync_state
    assert api.query(b"", b"").fields["standing"] == standing


def test_query_when_events_were_counted_has_their_public_names(api):
    names = ("clock_ahead", "versions_ended", "chunks_out_of_order", "conflicts")
    api.replica.counts.update(dict.fromkeys(names, 2))
    assert api.query(b"", b"").fields["counts"] == {
        "ahead": 2,
        "ended": 2,
        "slices_out_of_turn": 2,
        "conflicts": 2,
    }


def test_write_when_queried_has_its_version(api):
    assert api.write(b"", orjson.dumps(WRITE)) == AdminResponse(200, {"name": "a", "write": 1, "life": "ff"})
    assert api.holder_count(b"write=1", b"") == AdminResponse(200, {"had": 1, "life": "ff"})
    response = api.query(b"type=hold&name=s1", b"")
    assert response.status == 200
    assert response.fields["next"] is None
    assert response.fields["page"] == [
        {
            "type": "hold",
            "name": "s1",
            "holds": True,
            "known": True,
            "versions": [
                {
                    "dot": "a/ff/1",
                    "body": {"held": True},
                    "by": "ann",
                    "why": "disk",
                    "age_ms": 0,
                    "ends_in_ms": None,
                    "deleted": False,
                }
            ],
        }
    ]


@pytest.mark.parametrize(
    ("change", "status", "message"),
    [
        ({"by": ""}, 409, "by and why must not be empty"),
        ({"name": ""}, 409, "name must have 1 to 200 characters"),
        ({"delete": True}, 409, "there is no hold s1 on this node"),
        ({"lasts_ms": 0}, 409, "the lifetime must be longer than 0 ms"),
        ({"author": "ann"}, 400, "Object contains unknown field `author`"),
        ({"lasts_ms": "x"}, 400, "Expected `float | null`, got `str` - at `$.lasts_ms`"),
    ],
)
def test_write_when_not_acceptable_is_rejected_and_nothing_is_written(api, change, status, message):
    assert api.write(b"", orjson.dumps(WRITE | change)) == AdminResponse(status, {"error": message})
    assert KEY not in api.replica.entries


@pytest.mark.parametrize("query", [b"bucket=x", b"bucket=256", b"entries=1&after=x"])
def test_query_when_a_number_is_malformed_is_rejected(api, query):
    message = "bucket and after must be numbers, and bucket must be less than 256"
    assert api.query(query, b"") == AdminResponse(400, {"error": message})


def test_holder_count_when_the_write_is_unknown_is_not_found(api):
    error = {"error": "no such write of this process, or it is too old"}
    assert api.holder_count(b"write=7", b"") == AdminResponse(404, error)
    assert api.holder_count(b"write=x", b"") == AdminResponse(404, error)


def test_query_when_digests_and_entries_are_requested_has_them_after_the_summary_a_page_at_a_time(api):
    api.replica.limits = dataclasses.replace(api.replica.limits, max_entries=200)
    for number in range(PAGE_ENTRIES + 1):
        api.replica.write(0.0, ("note", f"{number:03}"), b"\x80", "ann", "why")
    first = api.query(b"entries=1&digests=1", b"").fields
    assert list(first)[-3:] == ["digests", "page", "next"]
    assert first["digests"] == [f"{digest:016x}" for digest in api.replica.digests]
    assert [entry["name"] for entry in first["page"]] == [f"{number:03}" for number in range(PAGE_ENTRIES)]
    assert first["next"] == PAGE_ENTRIES
    second = api.query(b"entries=1&after=100", b"").fields
    assert [entry["name"] for entry in second["page"]] == ["100"]
    assert second["next"] is None


def test_query_when_a_body_is_of_a_later_release_shows_what_can_be_decoded(api):
    body = msgspec.msgpack.encode({"a": b"bytes", "b": [1, {"c": None}]})
    api.replica.write(0.0, ("later", "x"), body, "ann", "why", lifetime_ms=500.0)
    api.replica.write(0.0, ("later", "y"), b"\xc1", "ann", "why", deleted=True)
    x, y = api.query(b"type=later", b"").fields["page"]
    assert (x["known"], x["holds"], x["versions"][0]["ends_in_ms"]) == (False, True, 400)
    assert x["versions"][0]["body"] == {"a": b"bytes", "b": [1, {"c": None}]}
    assert (y["holds"], y["versions"][0]["deleted"], y["versions"][0]["body"]) == (False, True, None)
