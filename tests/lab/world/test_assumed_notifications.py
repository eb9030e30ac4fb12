"""Assumed notifications of the endpoint list, at times that the tests pass in."""

import pytest
from support.lab_discovery import endpoint, endpoint_list

from flintridge.lab.world.assumed_notifications import NotificationModel
from flintridge.lab.world.endpoint_list import Phase


class Subscriber:
    """One node, and a change that is listed at 1000 ms."""

    def __init__(self) -> None:
        self.cut = False
        self.endpoints = endpoint_list(0.0, 0.0, "a")
        self.notifications = NotificationModel(self.endpoints, 10_000.0, lambda node: self.cut)
        self.notifications.started(0.0, "n0", self.endpoints.revision)

    def change(self, phase=Phase.TERMINATING) -> None:
        self.endpoints.observe(1000.0, endpoint(phase=phase))
        self.endpoints.advance(1000.0)

    def notified_at(self, until=100_000) -> float | None:
        """Return when the node counts as notified, at most once; checked every 100 ms from 1000 ms on."""
        found = [t for t in range(1000, until, 100) if self.notifications.check(float(t))]
        assert len(found) <= 1
        return found[0] if found else None


def test_a_node_when_it_makes_no_call_is_assumed_notified_once():
    node = Subscriber()
    node.change()
    assert node.notified_at() == 11_000
    polling_node = Subscriber()
    polling_node.notifications.called(5000.0, "n0", 1, 0.0)
    polling_node.notifications.responded(
        5010.0, "n0", 1, polling_node.endpoints.revision, watches=False, delivered=True
    )  # before the change was listed
    polling_node.endpoints.observe(6000.0, endpoint(phase=Phase.TERMINATING))
    polling_node.endpoints.advance(6000.0)
    assert polling_node.notified_at() == 16_000


def test_a_node_when_its_call_failed_has_four_times_as_long():
    node = Subscriber()
    node.change()
    node.notifications.called(2000.0, "n0", 1, 0.0)
    node.notifications.failed(2000.0, "n0", 1)
    assert node.notified_at() == 42_000
    notified = Subscriber()
    notified.change()
    notified.notifications.called(2000.0, "n0", 1, 0.0)
    notified.notifications.responded(
        2010.0, "n0", 1, notified.endpoints.revision, watches=True, delivered=True
    )
    assert notified.notified_at() is None


def test_a_node_when_its_watch_is_open_is_not_assumed_notified():
    node = Subscriber()
    node.change()
    node.notifications.called(1000.0, "n0", 1, 61_000.0)
    assert node.notified_at(61_000) is None
    # The node disconnects at the end of its wait, so the call counts as failed.
    node.notifications.disconnected(61_000.0, "n0", 1, broken=False)
    assert node.notifications.check(71_000.0) == [] and node.notifications.check(101_000.0) != []
    abandoned_watch = Subscriber()
    abandoned_watch.notifications.called(900.0, "n0", 1, 5000.0)
    # The node ends its watch early and makes no further call.
    abandoned_watch.notifications.disconnected(950.0, "n0", 1, broken=False)
    abandoned_watch.change()
    assert abandoned_watch.notified_at() == 11_000


@pytest.mark.parametrize(("wait", "at"), [(0.0, 7000), (9000.0, 12_000), (500.0, 3500)])
def test_a_response_when_it_does_not_arrive_counts_as_received_after_a_delay(wait, at):
    node = Subscriber()
    node.notifications.called(1000.0, "n0", 1, 1000.0 + wait)
    node.change()
    node.notifications.responded(1020.0, "n0", 1, node.endpoints.revision, watches=wait > 0, delivered=False)
    assert node.notified_at() == at


def test_a_node_when_it_cannot_call_is_excused():
    cut = Subscriber()
    cut.change()
    cut.cut = True
    assert cut.notified_at(60_000) is None
    cut.cut = False
    assert cut.notifications.check(99_000.0) == [] and cut.notifications.check(100_000.0) != []
    paused = Subscriber()
    paused.change()
    paused.notifications.paused(5000.0, "n0", True)
    assert paused.notified_at(60_000) is None
    paused.notifications.paused(60_000.0, "n0", False)
    assert paused.notifications.check(69_900.0) == [] and paused.notifications.check(70_000.0) != []
    dead = Subscriber()
    dead.change()
    dead.notifications.stopped("n0")
    assert dead.notified_at() is None


def test_a_reload_when_assumed_covers_what_is_listed_then_and_no_later_change():
    node = Subscriber()
    node.change()
    node.notifications.reloaded(2000.0, "n0")
    node.endpoints.observe(2500.0, endpoint(phase=Phase.TERMINATED))
    node.endpoints.advance(2500.0)
    assert node.notifications.check(5999.0) == []
    [assumed] = node.notifications.check(6000.0)
    assert (assumed.node, assumed.revision, [c.endpoint.phase for c in assumed.changes]) == (
        "n0",
        12,
        [Phase.TERMINATING],
    )
