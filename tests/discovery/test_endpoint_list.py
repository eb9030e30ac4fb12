"""The endpoint list: how discovery's form is read."""

import pytest
from support.network import SETTINGS, HandClock

from flintridge.api import Endpoint, EndpointState, UpdateKind
from flintridge.discovery.endpoint_list import EndpointList


def listed(complete=True, **changes) -> dict:
    entry = {"id": "s-5", "host_port": "127.0.0.1:5", "locality": "b", "flavor": "origin", "cell": 3}
    entry |= {"phase": "in_service", "size": 2.0, "up_since_ms": 0} | changes
    return {"revision": 41, "complete": complete, "members": [entry]}


def test_the_transport_map_reads_discoverys_form():
    transports = EndpointList(("a", "b"), ("m2", "origin"), SETTINGS, HandClock())
    members = transports.apply(listed(), UpdateKind.CACHED)
    assert members.kind is UpdateKind.CACHED and members.version == transports.revision == 41
    assert members.endpoints == (Endpoint("s-5", EndpointState.READY, 2.0, 3, 1, 0, 1),)
    assert transports["s-5"].origin and transports["s-5"].address.port == 5 and transports.any_ready
    # A restart is told by a new instant, on the node's own clock in the module's nanoseconds.
    (restarted,) = transports.apply(listed(False, up_since_ms=9500, host_port="127.0.0.1:6")).endpoints
    assert restarted.started_at == 9_000_000_000 and transports["s-5"].address.port == 6
    gone = transports.apply(listed(False, phase="terminated", host_port=None))
    assert gone.kind is UpdateKind.DELTA and not transports.any_ready and len(transports) == 0


def test_the_transport_map_does_not_grow_with_servers_that_come_and_go():
    transports = EndpointList((), ("m2",), SETTINGS, HandClock())
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
def test_a_malformed_list_changes_nothing(changes):
    transports = EndpointList((), (), SETTINGS, HandClock())
    with pytest.raises(ValueError, match="malformed list"):
        transports.apply(listed(**changes))
    assert transports.revision == 0 and not transports.any_ready
