"""The endpoint list: how discovery's form is read."""

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


def test_endpoint_list_when_in_discoverys_form_is_read():
    transports = EndpointList(("a", "b"), ("m2", "origin"), SETTINGS, ManualClock())
    members = transports.apply(listed(), UpdateKind.CACHED)
    assert members.kind is UpdateKind.CACHED and members.version == transports.revision == 41
    assert members.endpoints == (Endpoint("s-5", EndpointState.READY, 2.0, 3, 1, 0, 1),)
    assert transports["s-5"].origin and transports["s-5"].address.port == 5 and transports.any_ready
    # A restart is told by a new instant, on the node's own clock in the module's nanoseconds.
    (restarted,) = transports.apply(listed(False, up_since_ms=9500, host_port="127.0.0.1:6")).endpoints
    assert restarted.started_at == 9_000_000_000 and transports["s-5"].address.port == 6
    gone = transports.apply(listed(False, phase="terminated", host_port=None))
    assert gone.kind is UpdateKind.DELTA and not transports.any_ready and len(transports) == 0


def test_endpoint_list_when_servers_come_and_go_does_not_grow():
    transports = EndpointList((), ("m2",), SETTINGS, ManualClock())
    transports.apply(listed())
    for i in range(50):
        transports.apply(listed(False, id=f"n{i}"))
        transports.apply(listed(False, id=f"n{i}", phase="terminated"))
        transports.apply(listed(False, id=f"m{i}"))
    assert len(transports) == 51
    transports.apply(listed())
    assert len(transports) == 1


@pytest.mark.parametrize(
    "changes", [{"phase": "odd"}, {"host_port": "nowhere"}, {"id": 5}, {"size": "big"}, {"up_since_ms": "x"}]
)
def test_list_when_malformed_changes_nothing(changes):
    transports = EndpointList((), (), SETTINGS, ManualClock())
    with pytest.raises(ValueError, match="malformed list"):
        transports.apply(listed(**changes))
    assert transports.revision == 0 and not transports.any_ready


class WrongClock(ManualClock):
    """The clock of a node whose wall clock was `ahead_ms` ahead as it started; its instants are Unix time."""

    def __init__(self, ahead_ms: float) -> None:
        super().__init__(at=1_000_000_000.0)
        self.ahead_ms = ahead_ms

    def from_unix(self, unix_ms: float) -> float:
        return unix_ms - self.ahead_ms


class ReportedLists:
    """Lists as a node receives them; each server by its age in milliseconds, None where it has ended."""

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


def test_change_when_it_shows_that_the_clock_was_ahead_then_names_all_whose_starts_it_alters():
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
    assert [each.server for each in lists.report(c=400.0).endpoints] == ["c"]  # no other has altered again


def test_change_when_a_correction_is_taken_back_then_names_all_that_it_had_altered():
    lists = ReportedLists(ahead_ms=0.0)
    lists.report(True, a=5_000.0)
    lists.clock.advance(10_000.0)
    lists.report()
    lists.clock.advance(10.0)
    # Reported too late: the clock is blamed.
    assert lists.ages(lists.report(b=8_000.0)) == {"b": 3_000.0, "a": 10_010.0}
    assert lists.ages(lists.report(date_ms=lists.clock.now())) == {"b": 10.0, "a": 15_010.0}


def test_list_when_the_clock_was_behind_then_leaves_warm_servers_warm():
    lists = ReportedLists(ahead_ms=-HOUR_MS)
    assert lists.ages(lists.report(True, a=2 * HOUR_MS, b=60_000.0, c=1_000.0)) == {
        "a": 2 * HOUR_MS - 1_000,
        "b": 59_000.0,
        "c": 0.0,
    }


def test_first_list_when_it_has_a_date_then_is_right_at_once():
    lists = ReportedLists(ahead_ms=HOUR_MS)
    update = lists.report(True, date_ms=lists.clock.now() - 700.0, a=1_000.0, b=2 * HOUR_MS)
    assert lists.ages(update) == {"a": 300.0, "b": 2 * HOUR_MS - 700}


def test_list_in_the_configuration_then_is_no_sign_that_others_are_new():
    lists = ReportedLists(ahead_ms=0.0)
    lists.report(True, UpdateKind.CACHED, a=HOUR_MS)
    lists.clock.advance(10_000.0)
    assert lists.ages(lists.report(b=HOUR_MS)) == {"b": HOUR_MS}


def test_malformed_list_then_says_nothing_of_starts():
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
