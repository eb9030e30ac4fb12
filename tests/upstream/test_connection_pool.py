"""The pure decision functions of the connection pool."""

from dataclasses import dataclass

import pytest

from flintridge.config.address import Address
from flintridge.upstream.connection_pool import (
    IdleConnectionAction,
    action_for_idle_connection,
    server_to_evict_from,
)

ADDRESS = Address("127.0.0.1", 1)
OTHER_ADDRESS = Address("127.0.0.1", 2)


@dataclass
class IdleConnection:
    """The fields of an idle connection that the decisions use."""

    address: Address = ADDRESS
    idle_since: float = 1_000.0
    quarantined_until: float = 0.0
    unusable: bool = False


@pytest.mark.parametrize(
    ("connection", "now", "verdict"),
    [
        (IdleConnection(), 1_000, IdleConnectionAction.USE),
        (IdleConnection(), 1_399, IdleConnectionAction.USE),
        (IdleConnection(), 1_400, IdleConnectionAction.CLOSE),
        (IdleConnection(address=OTHER_ADDRESS), 1_000, IdleConnectionAction.CLOSE),
        (IdleConnection(unusable=True), 1_000, IdleConnectionAction.CLOSE),
        (IdleConnection(quarantined_until=1_050), 1_049, IdleConnectionAction.KEEP_QUARANTINED),
        (IdleConnection(quarantined_until=1_050), 1_050, IdleConnectionAction.USE),
        (IdleConnection(quarantined_until=1_050, unusable=True), 1_049, IdleConnectionAction.CLOSE),
        (
            IdleConnection(quarantined_until=1_050, address=OTHER_ADDRESS),
            1_049,
            IdleConnectionAction.KEEP_QUARANTINED,
        ),
    ],
)
def test_idle_connection_when_needed_is_used_kept_or_closed(connection, now, verdict):
    assert action_for_idle_connection(connection, ADDRESS, now, 400.0) is verdict


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
