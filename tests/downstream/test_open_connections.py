"""Unit tests of the connection limit: which connection is evicted, and how many may linger beyond it."""

import pytest
from support.network import ManualClock, log_and_counters

from flintridge.core.memory_budget import MemoryBudget
from flintridge.downstream.open_connections import (
    CONNECTION_BYTES,
    MAX_LINGERING_BEYOND_LIMIT,
    READ_AHEAD_BYTES,
    OpenConnections,
)

LIMIT = 3


class Connection:
    """A client connection that records the calls to it."""

    idle = True
    closing = False
    has_unread_responses = False

    def __init__(self, has_requested: bool = True, has_pending: bool = False) -> None:
        self.has_requested = has_requested
        self.has_pending = has_pending
        self.calls: list[str] = []

    def allow_read_ahead(self) -> None:
        self.calls.append("read ahead")

    def evict(self) -> None:
        self.calls.append("evict")

    def abort(self) -> None:
        self.calls.append("abort")


@pytest.fixture
def connections():
    _, counters = log_and_counters()
    # Half of it is for connections: enough for LIMIT of them that do not read ahead.
    memory = MemoryBudget(LIMIT * 2 * CONNECTION_BYTES, ManualClock())
    return OpenConnections(LIMIT, memory, ManualClock(), counters)


def fill(connections: OpenConnections, count: int = LIMIT, **state) -> list[Connection]:
    added = [Connection(**state) for _ in range(count)]
    for connection in added:
        connections.add(connection)
    return added


def test_capacity_when_the_limit_is_not_reached_then_nothing_is_evicted(connections):
    added = fill(connections, LIMIT - 1)
    assert connections.ensure_capacity()
    assert [connection.calls for connection in added] == [[], []]


def test_capacity_when_the_limit_is_reached_then_the_least_recently_used_is_evicted(connections):
    first, *others = fill(connections)
    assert connections.ensure_capacity()
    assert first.calls == ["evict"] and list(connections) == others
    assert list(connections.lingering_evicted) == [first]
    connections.remove(first)
    assert not connections.lingering_evicted


def test_capacity_when_every_connection_has_a_response_pending_then_there_is_none(connections):
    added = fill(connections, has_pending=True)
    assert not connections.ensure_capacity()
    assert list(connections) == added


def test_limit_when_lowered_then_connections_stay_open_until_others_arrive(connections):
    fill(connections)
    connections.limit = 1
    assert len(connections) == LIMIT
    assert connections.ensure_capacity()
    assert len(connections) == LIMIT - 1


def test_eviction_when_more_linger_than_allowed_then_the_first_evicted_is_aborted(connections):
    added = fill(connections, MAX_LINGERING_BEYOND_LIMIT + 1)
    while connections.evict_one():
        pass
    assert [connection.calls for connection in added] == [
        ["evict", "abort"],
        *([["evict"]] * MAX_LINGERING_BEYOND_LIMIT),
    ]


def test_abort_all_when_some_linger_then_closes_these_too(connections):
    added = fill(connections)
    assert connections.evict_one()
    connections.abort_all()
    assert [connection.calls[-1] for connection in added] == ["abort"] * LIMIT


def test_capacity_when_memory_is_short_then_a_connection_is_evicted_below_the_limit(connections):
    connections.limit = 2 * LIMIT
    first, *others = fill(connections)
    assert connections.ensure_capacity()
    assert first.calls == ["evict"] and list(connections) == others
    assert connections.memory.reserved == len(others) * CONNECTION_BYTES


def test_connection_when_most_memory_is_free_then_reads_ahead():
    _, counters = log_and_counters()
    memory = MemoryBudget(4 * READ_AHEAD_BYTES + 8 * CONNECTION_BYTES, ManualClock())
    connections = OpenConnections(LIMIT, memory, ManualClock(), counters)
    first, second = fill(connections, 2)
    assert first.calls == ["read ahead"] and second.calls == []
    connections.remove(first)
    connections.remove(second)
    assert connections.memory.reserved == 0
