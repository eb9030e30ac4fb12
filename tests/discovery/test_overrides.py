"""Overrides of the endpoint list by operators."""

from flintridge.api import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from flintridge.discovery.overrides import EndpointOverrides


def test_server_when_taken_out_then_is_reported_as_draining_and_no_server_is_added():
    updates = []
    overrides = EndpointOverrides(updates.append)
    ready = tuple(Endpoint(server, EndpointState.READY) for server in ("x", "y"))
    overrides.take_out(frozenset({"x", "never listed"}))
    assert not updates
    overrides.apply(EndpointUpdate(UpdateKind.FULL, 7, ready))
    states = [endpoint.state for endpoint in updates[-1].endpoints]
    assert states == [EndpointState.DRAINING, EndpointState.READY]
    overrides.take_out(frozenset({"y"}))
    assert updates[-1].kind is UpdateKind.DELTA
    assert updates[-1].version == 7
    assert {endpoint.server: endpoint.state for endpoint in updates[-1].endpoints} == {
        "x": EndpointState.READY,
        "y": EndpointState.DRAINING,
    }
    overrides.apply(EndpointUpdate(UpdateKind.DELTA, 8, (Endpoint("y", EndpointState.GONE),)))
    assert updates[-1].endpoints[0].state is EndpointState.GONE
    count = len(updates)
    overrides.take_out(frozenset())
    assert len(updates) == count
    overrides.apply(EndpointUpdate(UpdateKind.FAILED))
    assert updates[-1].kind is UpdateKind.FAILED
