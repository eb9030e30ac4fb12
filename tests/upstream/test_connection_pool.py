"""What the connection pool decides, by plain data."""

from dataclasses import dataclass

import pytest

from flintridge.config.address import Address
from flintridge.upstream.connection_pool import IdleVerdict, judge_idle_connection, server_to_evict_from

HERE = Address("127.0.0.1", 1)
ELSEWHERE = Address("127.0.0.1", 2)


@dataclass
class IdleConnection:
    """An idle connection, as far as the decisions read it."""

    address: Address = HERE
    idle_since: float = 1_000.0
    quarantined_until: float = 0.0
    unusable: bool = False


@pytest.mark.parametrize(
    ("connection", "now", "verdict"),
    [
        (IdleConnection(), 1_000, IdleVerdict.USE),
        (IdleConnection(), 1_399, IdleVerdict.USE),
        (IdleConnection(), 1_400, IdleVerdict.CLOSE),
        (IdleConnection(address=ELSEWHERE), 1_000, IdleVerdict.CLOSE),
        (IdleConnection(unusable=True), 1_000, IdleVerdict.CLOSE),
        (IdleConnection(quarantined_until=1_050), 1_049, IdleVerdict.KEEP_QUARANTINED),
        (IdleConnection(quarantined_until=1_050), 1_050, IdleVerdict.USE),
        (IdleConnection(quarantined_until=1_050, unusable=True), 1_049, IdleVerdict.CLOSE),
        (IdleConnection(quarantined_until=1_050, address=ELSEWHERE), 1_049, IdleVerdict.KEEP_QUARANTINED),
    ],
)
def test_idle_connection_when_judged_is_used_kept_or_closed(connection, now, verdict):
    assert judge_idle_connection(connection, HERE, now, 400.0) is verdict


def test_eviction_when_several_servers_have_idle_connections_takes_the_longest_idle():
    idle = {
        "s1": [IdleConnection(idle_since=30), IdleConnection(idle_since=40)],
        "s2": [],
        "s3": [IdleConnection(idle_since=10), IdleConnection(idle_since=90)],
        "s4": [IdleConnection(idle_since=10)],
    }
    assert server_to_evict_from(idle) == "s3"


def test_eviction_when_no_connection_is_idle_finds_none():
    assert server_to_evict_from({}) is None
    assert server_to_evict_from({"s1": []}) is None
