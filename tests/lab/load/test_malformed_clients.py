"""Clients that send malformed data."""

import pytest
from support.load import LoadTrial, one_class

from flintridge.lab.load.malformed_scripts import MALFORMED_KINDS
from flintridge.lab.records import (
    MalformedClientEnded,
    RequestSent,
    ResponseReceived,
)
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Clients, Scenario


def test_malformed_clients_when_started_then_have_a_connection_each():
    scenario = Scenario(length_s=4, warmup_s=0, load=model.Load(rate_per_s=20), classes=one_class().classes)

    async def during(trial):
        trial.load.bad_clients(20.0, ("used_id",), True)

    trial = LoadTrial(lambda c: c.served, scenario, during=during)
    valid = [a.connection for a in trial.of(RequestSent) if not a.counted]
    counted = {a.connection for a in trial.of(RequestSent) if a.counted}
    assert len(valid) > 20 and len(set(valid)) == len(valid) and not counted & set(valid)


def test_malformed_clients_when_nodes_respond_or_not_then_record_the_outcome():
    scenario = Scenario(length_s=9, warmup_s=0, load=model.Load(rate_per_s=1), clients=Clients(retries=0))

    async def send_for_a_while(trial, kinds=()):
        trial.load.bad_clients(20.0, kinds, True)
        await trial.fabric.clock.sleep_until(6000.0)
        trial.load.bad_clients(20.0, kinds, False)

    unanswered = LoadTrial(lambda c: None, scenario, during=send_for_a_while).of(MalformedClientEnded)
    assert {b.kind for b in unanswered} == set(MALFORMED_KINDS)
    assert {b.outcome for b in unanswered if b.kind == "silent"} == {"nothing"}
    assert all(b.elapsed_ms == pytest.approx(b.limit_ms) for b in unanswered if b.outcome == "nothing")
    assert {b.limit_ms for b in unanswered if b.kind == "huge_value"} == {6000}

    rejected = LoadTrial(lambda c: b"CLIENT_ERROR no\r\n", scenario, during=send_for_a_while)
    outcomes = {b.kind: b.outcome for b in rejected.of(MalformedClientEnded)}
    assert outcomes["unknown_class"] == outcomes["no_id"] == outcomes["flood"] == "error"
    served = LoadTrial(lambda c: b"MN\r\n", scenario, during=send_for_a_while).of(MalformedClientEnded)
    assert {b.outcome for b in served if b.kind == "flood"} == {"served"}
    used = {a.request_id for a in rejected.of(RequestSent) if not a.counted}
    # An id whose first use was rejected is free again; an id whose first use was served is not.
    for first, expected in ((lambda c: b"SERVER_ERROR busy\r\n", "anew"), (lambda c: c.served, "served")):
        seen = set()

        def respond(c, first=first, seen=seen):
            again = c.request_id in seen
            seen.add(c.request_id)
            return c.served if again else first(c)

        both = LoadTrial(respond, scenario, during=lambda trial: send_for_a_while(trial, ("used_id",))).of(
            MalformedClientEnded
        )
        assert {b.outcome for b in both} == {expected}
    assert used and all(a.kind == "error" for a in rejected.of(ResponseReceived) if a.request_id in used)
    assert max(b.at_ms for b in unanswered) < 12_100


def test_malformed_clients_when_the_kind_is_unknown_then_raise():
    with pytest.raises(ValueError, match="unknown kind of bad client: 'x'"):
        LoadTrial(lambda c: None, during=None, requests=[0.0]).load.bad_clients(1.0, ("x",), True)
