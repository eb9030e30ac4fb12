"""The model of the origin, at times that the tests pass in."""

import random

import pytest

from flintridge.lab.scenario import model as m
from flintridge.lab.world.origin_job import OriginJob
from flintridge.lab.world.origin_model import OriginModel


def make_job(
    write: bool = True, idempotency_key: str = "i", expires_at: float = 1e9, key: str = "a"
) -> OriginJob:
    return OriginJob(key, write, expires_at, idempotency_key if write else "", 2000.0)


def origin(**changes) -> OriginModel:
    return OriginModel(
        m.Origin(**{"slots": 1, "sigma": 0.0, "read_ms": 50.0, "queue_s": 0.12} | changes), random.Random(1)
    )


def offer_job(model: OriginModel, now: float, job: OriginJob) -> str | None:
    model.arrive(now, job)
    return model.offer(now, job)


def test_a_keyed_write_when_repeated_within_its_window_is_not_executed():
    model = origin(write_times=2.0)
    first, joins, later, beyond = (make_job() for _ in range(4))
    assert offer_job(model, 0, first) is None and offer_job(model, 10, joins) is None
    assert model.advance(100) == [first, joins] and joins.leader is first and joins.outcome == "receipt"
    assert offer_job(model, 2040, later) == "receipt" and later.leader is first
    assert offer_job(model, 2060, beyond) is None and beyond.leader is None
    # A write with the key of a write that was never executed is not a repeat.
    declined, again = make_job(idempotency_key="j", expires_at=2070), make_job(idempotency_key="j")
    assert offer_job(model, 2061, declined) is None
    assert model.advance(2160) == [beyond, declined] and declined.outcome == "busy"
    assert offer_job(model, 2161, again) is None and again.leader is None


def test_the_origin_when_overloaded_declines_and_crashes():
    model = origin(fall_multiple=2.0, fall_ms=200.0, down_s=3.0)
    reads = [make_job(False, key=str(i)) for i in range(8)]
    assert [offer_job(model, 0, job) for job in reads] == [None] * 4 + ["busy"] * 4
    assert model.crashes == 0 and len(model.advance(200)) == 4
    assert offer_job(model, 199, make_job(False)) is None
    assert (model.crashes, model.crashed_until) == (1, 3199) and model.in_flight == 1


def test_reads_when_fetches_are_shared_run_once_and_down_modes_respond():
    model = origin(shares_fetches=True)
    pair = [make_job(False), make_job(False)]
    assert [offer_job(model, 0, job) for job in pair] == [None, None] and model.in_flight == 1
    assert model.advance(50) == pair and model.advance(99) == []
    model.slow = 3.0
    offer_job(model, 100, make_job(False))
    assert model.due() == 250
    for mode, outcome in (("declines", "busy"), ("errors", "error"), ("silent", None)):
        model.down = mode
        assert offer_job(model, 100, make_job(False, key="b")) == outcome
    with pytest.raises(ValueError, match="unknown down mode of the origin: 'tired'"):
        model.down = "tired"
