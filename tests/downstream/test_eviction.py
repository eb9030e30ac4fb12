"""Connection eviction: the order, and what it costs to find the first."""

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

    @property
    def has_pending(self) -> bool:
        self.checks += 1
        return self.pending

    @property
    def idle(self) -> bool:
        return not self.pending and not self.half_command


def expected_victim(connections: list[Connection]) -> Connection | None:
    """The rule, looked for among all."""
    evictable = [c for c in connections if c.closing or (not c.pending and (c.idle or not c.has_requested))]
    return min(evictable, key=lambda c: (not c.closing, not c.has_requested, c.last_used_at), default=None)


ACTIONS = st.tuples(
    st.sampled_from(["open", "use", "request", "pend", "half", "close", "remove", "evict"]),
    st.integers(0, 9),
)


def act(order: EvictionOrder, connection: Connection, action: str, now: int) -> None:
    """Have one of the open connections do something, but for its removal."""
    if action == "pend":
        connection.pending = not connection.pending
        return  # it is neither read nor written by that
    if action == "half":
        connection.half_command = True
    connection.has_requested |= action == "request"
    if not connection.closing:
        connection.last_used_at = now
    connection.closing |= action == "close"
    order.touch(connection)


@FIXED
@given(st.lists(ACTIONS, max_size=40))
def test_order_when_anything_happens_then_is_that_of_the_rule(actions):
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
            act(order, connections[index % len(connections)], action, now)
        assert order.first_evictable() is expected_victim(connections)


def test_first_evictable_when_thousands_are_open_then_looks_at_few():
    """Guards a node in a crowd: the walk over all took half of its time, and requests lay there meanwhile."""
    order = EvictionOrder()
    connections = [Connection(number) for number in range(5_000)]
    for connection in connections:
        connection.has_requested = connection.number % 2 == 0
        order.touch(connection)
    for _ in range(2_000):
        order.remove(order.first_evictable())
    assert sum(connection.checks for connection in connections) <= 2 * 2_000
