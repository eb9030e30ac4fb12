"""When clients retry, in runs against scripted nodes."""

import pytest
from support.load import LoadTrial, one_class

from flintridge.lab.records import (
    RequestNotAccepted,
    RequestSent,
    ResponseReceived,
)


@pytest.mark.parametrize(("effect", "attempts"), [("safe", 3), ("keyed", 2), ("unsafe", 1)])
@pytest.mark.parametrize("response", [b"SERVER_ERROR failed\r\n", b"nonsense\r\n", "close"])
def test_retry_when_the_attempt_may_have_been_executed_then_comes_only_if_harmless(
    effect, attempts, response
):
    """A keyed request is retried within its deduplication window, which ends with the second attempt here."""
    trial = LoadTrial(
        lambda c: (140.0, response), one_class(effect, backoff="fixed", backoff_ms=100), requests=[0.0]
    )
    assert len(trial.nodes["n0"].received) == attempts
    keys = {c.options.get("k") for c in trial.nodes["n0"].received}
    assert len(keys) == 1 and (None in keys) is (effect != "keyed")
    assert len({a.value_digest for a in trial.of(RequestSent)}) == (attempts if effect != "safe" else 1)


def test_unsafe_request_when_rejected_or_not_accepted_then_is_retried():
    trial = LoadTrial(
        lambda c: [b"SERVER_ERROR busy\r\n", b"HD O%b cok\r\n" % c.request_id.encode()][c.index],
        one_class("unsafe"),
        requests=[0.0],
    )
    assert trial.events == ["RequestSent", "refused", "RequestSent", "served"]

    async def kill(trial):
        await trial.fabric.clock.sleep_until(-1.0)
        trial.fabric.network.host("n0").kill()
        trial.load.load_balancer.node_killed("n0")

    trial = LoadTrial(lambda c: None, one_class("unsafe"), requests=[0.0], during=kill)
    assert trial.events == ["RequestNotAccepted"] * 3
    assert [n.attempt_number for n in trial.of(RequestNotAccepted)] == [0, 1, 2]
    assert trial.of(RequestNotAccepted)[0].reason == "no connection: ConnectionRefusedError"


def test_retry_after_when_clients_honour_it_then_is_followed_up_to_the_maximum():
    def busy(c):
        return b"SERVER_ERROR busy 300\r\n" if c.index == 0 else c.served

    pauses = {}
    for honour in (0.0, 1.0):
        trial = LoadTrial(busy, one_class(honour=honour, backoff="fixed", backoff_ms=50), requests=[0.0])
        pauses[honour] = trial.of(RequestSent)[1].at_ms - trial.of(ResponseReceived)[0].at_ms
    assert pauses == {0.0: pytest.approx(50), 1.0: pytest.approx(300)}
    late = LoadTrial(lambda c: b"SERVER_ERROR busy 1500\r\n", one_class(honour=1.0), requests=[0.0])
    assert late.events == ["RequestSent", "refused"] and late.end < 10
