"""Which nodes the load balancer uses, and its delay in learning of their ends."""

from support.load import LoadTrial, one_class

from flintridge.lab.records import (
    NodeStateChanged,
    RequestNotAccepted,
    RequestSent,
)
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Clients, Scenario


def test_load_balancer_when_nodes_start_and_die_then_waits_for_ready_ones_and_learns_late_of_deaths():
    scenario = Scenario(
        length_s=8,
        warmup_s=0,
        load=model.Load(rate_per_s=200),
        classes=one_class().classes,
        clients=Clients(notice_s=1.0, retries=0),
    )

    async def during(trial):
        clock = trial.fabric.clock
        balancer = trial.load.load_balancer
        trial.nodes["n1"].ready = False
        await clock.sleep_until(1000.0)
        trial.nodes["n1"].ready = True
        await clock.sleep_until(3000.0)
        balancer.node_killed("n1")
        trial.fabric.network.host("n1").kill()
        await clock.sleep_until(5000.0)
        trial.fabric.network.host("n1").revive()
        await trial.nodes["n1"].listen()
        balancer.node_started("n1")
        await clock.sleep_until(6000.0)
        balancer.node_terminating("n0")

    trial = LoadTrial(lambda c: c.served, scenario, nodes=2, during=during)
    at = [a.at_ms for a in trial.of(RequestSent) if a.node == "n1"]
    missed = [n.at_ms for n in trial.of(RequestNotAccepted)]
    assert 1000 < min(at) < 1130 and not [t for t in at if 3000 < t < 5000]
    assert min(missed) > 3000 and 3800 < max(missed) < 4010 and len(missed) > 50
    assert [round(r.at_ms, -2) for r in trial.of(NodeStateChanged) if r.node == "n1"] == [1100, 5000]
    sent = [a for a in trial.of(RequestSent) if a.node == "n0"]
    new = [a.at_ms for a in sent if a.connection not in {b.connection for b in sent if b.at_ms < a.at_ms}]
    assert max(new) < 6410  # afterwards only connections that stay open are used
    assert max(a.at_ms for a in sent) > 7900
    assert trial.end < 8010 and all(a.counted for a in trial.of(RequestSent))


def test_open_connections_when_their_node_got_sigterm_then_are_used_until_the_kill():
    scenario = Scenario(
        length_s=6,
        warmup_s=0,
        load=model.Load(rate_per_s=200),
        classes=one_class().classes,
        clients=Clients(notice_s=1.0, retries=0),
    )

    async def during(trial):
        clock = trial.fabric.clock
        balancer = trial.load.load_balancer
        await clock.sleep_until(2000.0)
        balancer.node_terminating("n0")
        await clock.sleep_until(4000.0)
        balancer.node_killed("n0")
        trial.fabric.network.host("n0").kill()

    trial = LoadTrial(lambda c: c.served, scenario, nodes=2, during=during)
    sent = [a for a in trial.of(RequestSent) if a.node == "n0"]
    late = [a for a in sent if a.at_ms > 2410]
    known = {a.connection for a in sent if a.at_ms <= 2410}
    assert len(late) > 50 and {a.connection for a in late} <= known
    assert 3900 < max(a.at_ms for a in late) < 4001
