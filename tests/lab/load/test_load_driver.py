"""The load of a run with and without a burst."""

from support.load import LoadTrial

from flintridge.lab.records import (
    RequestAbandoned,
    RequestSent,
)
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Clients, Scenario


def test_burst_when_set_during_the_run_then_applies_from_that_time():
    scenario = Scenario(
        length_s=4, warmup_s=1, load=model.Load(rate_per_s=200), clients=Clients(leave_early=0.2, pools=1)
    )

    async def burst(trial):
        await trial.fabric.clock.sleep_until(1100.0)
        trial.load.burst(lambda t: 3.0)
        await trial.fabric.clock.sleep_until(2100.0)
        trial.load.burst(lambda t: 1.0)

    plain = LoadTrial(lambda c: (300.0 if c.connection_index else 3.0, c.served), scenario)
    burst = LoadTrial(lambda c: (300.0 if c.connection_index else 3.0, c.served), scenario, during=burst)
    scheduled = [
        {a.scheduled_ms: (a.key, a.request_id) for a in t.of(RequestSent) if not a.attempt_number}
        for t in (plain, burst)
    ]
    assert scheduled[0].items() <= scheduled[1].items()
    extra = [at for at in scheduled[1] if at not in scheduled[0]]
    assert 300 < len(extra) < 500 and all(1100 <= at <= 2100 for at in extra)
    assert all(a.at_ms >= a.scheduled_ms for a in plain.of(RequestSent))
    assert sum(g.left_early for g in plain.of(RequestAbandoned)) > 5
    again = LoadTrial(lambda c: (300.0 if c.connection_index else 3.0, c.served), scenario)
    assert again.log.digest() == plain.log.digest() != burst.log.digest()
    ids = [a.request_id for a in plain.of(RequestSent)]
    assert all(plain.truth.get(request_id) for request_id in ids)
