"""Connections of clients: how they end, and how the requests on them go on."""

from support.load import LoadTrial, one_class

from flintridge.lab.records import (
    RequestAbandoned,
    RequestSent,
    ResponseReceived,
)


def test_request_when_a_close_crosses_it_then_is_sent_again_once():
    """The node closes while the second request is in transit. It closes on the repeat too, which is final."""

    async def crossing(trial):
        await trial.fabric.clock.sleep_until(99.9)
        (connection,) = trial.fabric.network.host("n0").process.connections
        connection.user.close()

    trial = LoadTrial(
        lambda c: c.served if c.index == 0 else "close",
        one_class(retries=0),
        requests=[0.0, 100.0],
        during=crossing,
    )
    assert trial.events == ["RequestSent", "served", "RequestSent", "closed", "RequestSent", "closed"]
    closed = trial.of(ResponseReceived)[1]
    _, before, after = trial.of(RequestSent)
    assert closed.at_ms - before.at_ms < 1  # the close is recorded at its time
    assert (before.request_id, before.attempt_number) == (after.request_id, after.attempt_number)
    assert before.connection != after.connection
    assert [c.request_id for c in trial.nodes["n0"].received[1:]] == [after.request_id]
    first = LoadTrial(lambda c: "close", one_class(retries=0), requests=[0.0])
    assert first.events == ["RequestSent", "closed"]  # on a new connection, no close can cross


def test_request_when_its_node_is_killed_then_is_not_sent_again():
    async def kill(trial):
        await trial.fabric.clock.sleep_until(150.0)
        trial.load.load_balancer.node_killed("n0")
        trial.fabric.network.host("n0").kill()

    trial = LoadTrial(
        lambda c: c.served if c.index == 0 else None,
        one_class("safe", retries=0),
        requests=[0.0, 100.0],
        during=kill,
    )
    assert trial.events == ["RequestSent", "served", "RequestSent", "reset"]


def test_pipelined_requests_when_one_times_out_then_lose_their_connection():
    def script(c):
        return None if c.index == 0 else b""

    trial = LoadTrial(script, one_class(pipeline=3, retries=0), requests=[0.0, 100.0, 200.0, 300.0])
    abandoned = trial.of(RequestAbandoned)
    assert [(a.left_early, round(a.at_ms)) for a in abandoned] == [
        (False, 551),
        (True, 626),
        (True, 626),
        (False, 851),
    ]
    first, *middle, last = [a.connection for a in trial.of(RequestSent)]
    assert middle == [first, first] and last != first


def test_response_when_it_is_a_second_one_then_is_recorded_and_ends_the_connection():
    trial = LoadTrial(lambda c: c.served + c.served, one_class(), requests=[0.0, 50.0])
    assert trial.events == ["RequestSent", "served", "served"] * 2
    first = trial.of(ResponseReceived)[:2]
    assert first[0].request_id == first[1].request_id and trial.nodes["n0"].connections == 3
    late = LoadTrial(lambda c: c.served if c.index else (60.0, b""), one_class(), requests=[0.0])
    assert late.events == ["RequestSent", "RequestAbandoned", "RequestSent", "served"]
