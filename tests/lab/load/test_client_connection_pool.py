"""Pools of the clients' connections."""

from support.load import LoadTrial, one_class

from flintridge.lab.records import (
    RequestSent,
)


def test_connections_when_idle_are_reused_latest_first_then_closed_unless_single_use():
    at = [0.0, 1.0, 100.0, 3000.0]
    trial = LoadTrial(lambda c: (20.0, c.served), one_class(idle_s=1.0), requests=at)
    connections = [a.connection for a in trial.of(RequestSent)]
    assert connections[0] != connections[1] == connections[2] and connections[3] not in connections[:3]
    assert all(1000 <= t <= 1700 for t in trial.nodes["n0"].closed_ms[1:3])
    trial = LoadTrial(lambda c: c.served, one_class(once=1.0, idle_s=0.5), requests=at)
    assert len({a.connection for a in trial.of(RequestSent)}) == 4
    assert min(trial.nodes["n0"].closed_ms[1:]) >= 3000
