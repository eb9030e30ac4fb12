"""The endpoint list: how discovery's format is parsed."""

from collections import deque
from itertools import count

import pytest
from support.network import SETTINGS, ManualClock

from flintridge.api import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.policy.balancer import Balancer
from flintridge.policy.connect_backoff import ConnectBackoff
from flintridge.policy.slow_start import SentWork, WarmUpUse

HOUR_MS = 3_600_000.0


def listed(complete=True, **changes) -> dict:
    entry = {"id": "s-5", "host_port": "127.0.0.1:5", "locality": "b", "flavor": "origin", "cell": 3}
    entry |= {"phase": "in_service", "size": 2.0, "up_since_ms": 0} | changes
    return {"revision": 41, "complete": complete, "members": [entry]}


def test_endpoint_list_when_in_discoverys_format_then_is_parsed():
    endpoints = EndpointList(("a", "b"), ("m2", "origin"), SETTINGS, ManualClock())
    update = endpoints.apply(listed(), UpdateKind.CACHED)
    assert update.kind is UpdateKind.CACHED and update.version == endpoints.revision == 41
    assert update.endpoints == (Endpoint("s-5", EndpointState.READY, 2.0, 3, 1, 0, 1),)
    assert endpoints["s-5"].origin and endpoints["s-5"].address.port == 5 and endpoints.any_ready
    # A new start shows a restart; it is reported on the node's own clock, in the policy's nanoseconds.
    (restarted,) = endpoints.apply(listed(False, up_since_ms=9500, host_port="127.0.0.1:6")).endpoints
    assert restarted.started_at == 9_000_000_000 and endpoints["s-5"].address.port == 6
    gone = endpoints.apply(listed(False, phase="terminated", host_port=None))
    assert gone.kind is UpdateKind.DELTA and not endpoints.any_ready and len(endpoints) == 0


def test_endpoint_list_when_servers_come_and_go_then_does_not_grow():
    endpoints = EndpointList((), ("m2",), SETTINGS, ManualClock())
    endpoints.apply(listed())
    for i in range(50):
        endpoints.apply(listed(False, id=f"n{i}"))
        endpoints.apply(listed(False, id=f"n{i}", phase="terminated"))
        endpoints.apply(listed(False, id=f"m{i}"))
    assert len(endpoints) == 51
    endpoints.apply(listed())
    assert len(endpoints) == 1


@pytest.mark.parametrize(
    "changes", [{"phase": "odd"}, {"host_port": "nowhere"}, {"id": 5}, {"size": "big"}, {"up_since_ms": "x"}]
)
def test_list_when_malformed_changes_nothing(changes):
    endpoints = EndpointList((), (), SETTINGS, ManualClock())
    with pytest.raises(ValueError, match="malformed list"):
        endpoints.apply(listed(**changes))
    assert endpoints.revision == 0 and not endpoints.any_ready


class WrongClock(ManualClock):
    """The clock of a node whose wall clock was `ahead_ms` ahead at its start; its instants are Unix time."""

    def __init__(self, ahead_ms: float) -> None:
        super().__init__(at=1_000_000_000.0)
        self.ahead_ms = ahead_ms

    def from_unix(self, unix_ms: float) -> float:
        return unix_ms - self.ahead_ms


class ReportedLists:
    """Lists as a node receives them; each server is given by its age in milliseconds, None if it ended."""

    def __init__(self, ahead_ms: float) -> None:
        self.clock = WrongClock(ahead_ms)
        self.endpoints = EndpointList((), ("m2",), SETTINGS, self.clock)
        self.revisions = count(1)
        self.up_since: dict[str, float] = {}

    def report(self, complete=False, kind=None, date_ms=None, **ages) -> EndpointUpdate:
        members = []
        for server, age in ages.items():
            if age is not None:
                self.up_since[server] = self.clock.now() - age
            (entry,) = listed(id=server, flavor="m2", up_since_ms=self.up_since[server])["members"]
            members.append(entry | ({"phase": "terminated"} if age is None else {}))
        text = {"revision": next(self.revisions), "complete": complete, "members": members}
        return self.endpoints.apply(text, kind, date_ms)

    def ages(self, update: EndpointUpdate) -> dict[str, float]:
        now = self.clock.now()
        return {each.server: now - each.started_at / 1e6 for each in update.endpoints}


def test_change_when_it_shows_that_the_clock_was_ahead_then_names_all_servers_with_corrected_starts():
    lists = ReportedLists(ahead_ms=HOUR_MS)
    assert lists.ages(lists.report(True, a=1_000.0, b=2 * HOUR_MS)) == {
        "a": HOUR_MS + 1_000,
        "b": 3 * HOUR_MS,
    }
    lists.clock.advance(500.0)
    lists.report(b=None)
    lists.clock.advance(9_500.0)
    update = lists.report(c=500.0)
    assert (update.kind, lists.ages(update)) == (UpdateKind.DELTA, {"c": 0.0, "a": 10_500.0})
    assert [each.server for each in lists.report(c=400.0).endpoints] == ["c"]  # no other start changes again


def test_change_when_it_reverts_a_correction_then_names_all_servers_that_were_corrected():
    lists = ReportedLists(ahead_ms=0.0)
    lists.report(True, a=5_000.0)
    lists.clock.advance(10_000.0)
    lists.report()
    lists.clock.advance(10.0)
    # Reported too late: the delay is attributed to the clock.
    assert lists.ages(lists.report(b=8_000.0)) == {"b": 3_000.0, "a": 10_010.0}
    assert lists.ages(lists.report(date_ms=lists.clock.now())) == {"b": 10.0, "a": 15_010.0}


def test_list_when_the_clock_was_behind_then_leaves_warm_servers_warm():
    lists = ReportedLists(ahead_ms=-HOUR_MS)
    assert lists.ages(lists.report(True, a=2 * HOUR_MS, b=60_000.0, c=1_000.0)) == {
        "a": 2 * HOUR_MS - 1_000,
        "b": 59_000.0,
        "c": 0.0,
    }


def test_first_list_when_it_has_a_date_then_its_starts_are_right_at_once():
    lists = ReportedLists(ahead_ms=HOUR_MS)
    update = lists.report(True, date_ms=lists.clock.now() - 700.0, a=1_000.0, b=2 * HOUR_MS)
    assert lists.ages(update) == {"a": 300.0, "b": 2 * HOUR_MS - 700}


def test_list_when_from_the_configuration_then_is_no_evidence_that_other_servers_are_new():
    lists = ReportedLists(ahead_ms=0.0)
    lists.report(True, UpdateKind.CACHED, a=HOUR_MS)
    lists.clock.advance(10_000.0)
    assert lists.ages(lists.report(b=HOUR_MS)) == {"b": HOUR_MS}


def test_list_when_malformed_then_is_no_evidence_of_starts():
    lists = ReportedLists(ahead_ms=HOUR_MS)
    lists.report(True, a=1_000.0)
    lists.clock.advance(10_000.0)
    with pytest.raises(ValueError, match="malformed list"):
        lists.endpoints.apply(listed(False, id="b", up_since_ms=lists.clock.now(), phase="odd"))
    assert lists.endpoints.starts.correction_ms == 0.0


def test_policy_when_a_start_is_corrected_then_only_forgets_the_connect_backoff():
    lists = ReportedLists(ahead_ms=HOUR_MS)
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(0, lists.report(True, a=1_000.0))
    server = balancer.servers["a"]
    server.connect_backoff = ConnectBackoff(failures=3, until=10**18)
    server.inflight, server.cost = 2, 0.5
    server.warm_up = WarmUpUse(deque([SentWork(1, 1.0)]), work=1.0)
    lists.clock.advance(10_000.0)
    balancer.handle(0, lists.report(c=500.0))
    assert balancer.servers["a"] is server and server.endpoint.started_at > 0
    assert (server.connect_backoff.failures, server.inflight, server.cost) == (3, 2, 0.5)
    assert len(server.warm_up.sends) == 1 and server.warm_up.work == 1.0
    assert server.connect_backoff.until == 0


@pytest.mark.parametrize("size", [1e300, "inf", 1e9, 0, -1, "nan"])
@pytest.mark.parametrize("position", [0, 1])
def test_drain_when_another_server_of_the_list_has_an_odd_weight_then_is_known_to_the_policy(size, position):
    endpoints = EndpointList((), ("m2",), SETTINGS, ManualClock())
    policy = Balancer(SETTINGS, seed=1)
    entry = listed(flavor="m2")["members"][0]
    both = [entry | {"id": "s-1"}, entry | {"id": "s-2"}]
    policy.handle(1, endpoints.apply({"revision": 1, "complete": True, "members": both}))
    changes = [entry | {"id": "s-1", "phase": "terminating"}, entry | {"id": "s-2"}]
    changes.insert(position, entry | {"id": "s-odd", "size": size})
    for revision in (2, 3):
        list_of_all = {"revision": revision, "complete": revision == 3, "members": changes}
        policy.handle(revision, endpoints.apply(list_of_all))
        assert "s-1" not in policy.ready and "s-2" in policy.ready and "s-odd" in policy.ready
