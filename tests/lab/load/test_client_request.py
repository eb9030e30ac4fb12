"""Attempts of a request: their timeouts, and how their ends are recorded."""

import pytest
from support.load import LoadTrial, one_class

from flintridge.lab.records import (
    RequestAbandoned,
    RequestNotAccepted,
    RequestSent,
    ResponseReceived,
)
from flintridge.lab.scenario.model import Clients, RequestClass, Scenario


def test_attempts_when_unanswered_then_time_out_exactly_and_end_by_the_deadline():
    trial = LoadTrial(lambda c: None, one_class(retries=9), requests=[0.0])
    sent = trial.of(RequestSent)
    abandoned = trial.of(RequestAbandoned)
    assert trial.events == ["RequestSent", "RequestAbandoned"] * 2
    assert [a.time_left_ms for a in sent] == [550, int(1000 - sent[1].at_ms)]
    for one, end in zip(sent, abandoned, strict=True):
        assert end.at_ms - one.at_ms == pytest.approx(one.time_left_ms)
    assert abandoned[-1].at_ms <= 1000 and [a.attempt_number for a in sent] == [0, 1]
    assert len({a.request_id for a in sent}) == 2
    assert {a.first_request_id for a in sent} == {sent[0].request_id}
    first, second = trial.nodes["n0"].received
    assert first.options["d"] == "550" and "r" not in first.options and second.options["r"] == "1"
    assert (
        len(trial.nodes["n0"].closed_ms) == 3 and trial.open_connections == 0
    )  # the connections of the readiness check and of both attempts


@pytest.mark.parametrize("response", [b"VA 2 Oother\r\nok\r\n", b"HD O%b cok\r\n", b"MN\r\n", b"EN\r\n"])
def test_response_when_it_does_not_match_its_request_then_is_garbled(response):
    trial = LoadTrial(
        lambda c: response.replace(b"%b", c.request_id.encode()), one_class(retries=0), requests=[0.0, 50.0]
    )
    assert trial.events == ["RequestSent", "garbled"] * 2 and trial.nodes["n0"].connections == 3


def test_partial_response_when_the_connection_ends_then_is_recorded_as_such():
    trial = LoadTrial(lambda c: b"VA 5 O" if c.index else c.served, one_class(retries=0), requests=[0.0])
    assert trial.events == ["RequestSent", "served"]

    async def kill(trial):
        await trial.fabric.clock.sleep_until(20.0)
        trial.fabric.network.host("n0").kill()

    trial = LoadTrial(
        lambda c: b"VA 5 O" + c.request_id.encode(), one_class(retries=0), requests=[0.0], during=kill
    )
    (end,) = trial.of(ResponseReceived)
    assert (end.kind, end.text) == ("reset", "in the middle of the answer")


def test_request_when_its_last_byte_has_been_sent_then_counts_as_sent():
    async def read_again(trial):
        node = trial.nodes["n0"]
        await trial.fabric.clock.sleep_until(-10.0)
        node.pauses_reading = True
        await trial.fabric.clock.sleep_until(400.0)
        for connection in trial.fabric.network.host("n0").process.connections:
            connection.user.resume_reading()

    scenario = Scenario(
        classes=(RequestClass(name="x", write=True, deadline_ms=1000),), clients=Clients(pools=1, retries=0)
    )
    at = [0.0]
    trial = LoadTrial(
        lambda c: b"HD O%b cok\r\n" % c.request_id.encode(),
        scenario,
        requests=at,
        window=50,
        during=read_again,
    )
    (sent,) = trial.of(RequestSent)
    assert trial.events == ["RequestSent", "served"] and 400 < sent.at_ms < 420

    trial = LoadTrial(lambda c: None, scenario, requests=at, window=50, during=stop_reading)
    assert trial.events == ["RequestNotAccepted"]
    assert trial.of(RequestNotAccepted)[0].reason == "not sent in time"


async def stop_reading(trial):
    await trial.fabric.clock.sleep_until(-10.0)
    trial.nodes["n0"].pauses_reading = True
