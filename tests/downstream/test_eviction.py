"""Tests of connection eviction: the order, and the cost of finding its first connection."""

from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.downstream.eviction import EvictionOrder


class Connection:
    def __init__(self, number: int) -> None:
        self.number = number
        self.last_used_at = 0
        self.checks = 0
        self.has_requested = False
        self.closing = False
        self.pending = False
        self.half_command = False
        self.has_unread_responses = False

    @property
    def has_pending(self) -> bool:
        self.checks += 1
        return self.pending

    @property
    def idle(self) -> bool:
        return not self.pending and not self.half_command

    @property
    def is_between_requests(self) -> bool:
        if self.pending or self.has_unread_responses:
            return False
        return self.idle or not self.has_requested


def expected_victim(connections: list[Connection]) -> Connection | None:
    """The connection that the order requires, found by a search through all."""
    evictable = [
        c for c in connections if (c.closing and not c.has_unread_responses) or c.is_between_requests
    ]
    return min(evictable, key=lambda c: (not c.closing, not c.has_requested, c.last_used_at), default=None)


ACTIONS = st.tuples(
    st.sampled_from(["open", "use", "request", "pend", "unread", "half", "close", "remove", "evict"]),
    st.integers(0, 9),
)


def apply_action(order: EvictionOrder, connection: Connection, action: str, now: int) -> None:
    """Apply an action other than a removal to an open connection."""
    if action == "pend":
        connection.pending = not connection.pending
        return  # the connection is neither read nor written
    if action == "unread":
        connection.has_unread_responses = not connection.has_unread_responses
        return
    if action == "half":
        connection.half_command = True
    connection.has_requested |= action == "request"
    if not connection.closing:
        connection.last_used_at = now
    connection.closing |= action == "close"
    order.touch(connection)


@FIXED
@given(st.lists(ACTIONS, max_size=40))
def test_order_when_connections_change_then_matches_a_search_through_all(actions):
    order = EvictionOrder()
    connections: list[Connection] = []
    for now, (action, index) in enumerate(actions, 1):
        if action == "open":
            connection = Connection(now)
            connection.last_used_at = now
            connections.append(connection)
            order.touch(connection)
        elif action == "evict":
            victim = order.first_evictable()
            if victim is not None:
                connections.remove(victim)
                order.remove(victim)
        elif connections and action == "remove":
            removed = connections.pop(index % len(connections))
            order.remove(removed)
        elif connections:
            apply_action(order, connections[index % len(connections)], action, now)
        assert order.first_evictable() is expected_victim(connections)


def test_first_evictable_when_thousands_are_open_then_checks_few():
    """Guards a node with many clients: a search through all connections took half of its time.

    Requests had to wait meanwhile.
    """
    order = EvictionOrder()
    connections = [Connection(number) for number in range(5_000)]
    for connection in connections:
        connection.has_requested = connection.number % 2 == 0
        order.touch(connection)
    for _ in range(2_000):
        order.remove(order.first_evictable())
    assert sum(connection.checks for connection in connections) <= 2 * 2_000
