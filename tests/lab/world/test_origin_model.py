"""The model of the origin, by a clock that is set by hand."""

import random

import pytest

from flintridge.lab.scenario import model as m
from flintridge.lab.world.origin_job import OriginJob
from flintridge.lab.world.origin_model import OriginModel


def order(write: bool = True, idem: str = "i", expires_at: float = 1e9, key: str = "a") -> OriginJob:
    return OriginJob(key, write, expires_at, idem if write else "", 2000.0)


def origin(**changes) -> OriginModel:
    return OriginModel(
        m.Origin(**{"slots": 1, "sigma": 0.0, "read_ms": 50.0, "queue_s": 0.12} | changes), random.Random(1)
    )


def put(model: OriginModel, now: float, one: OriginJob) -> str | None:
    model.arrive(now, one)
    return model.offer(now, one)


def test_a_keyed_write_when_repeated_within_its_window_is_not_executed():
    model = origin(write_times=2.0)
    first, joins, later, beyond = (order() for _ in range(4))
    assert put(model, 0, first) is None and put(model, 10, joins) is None
    assert model.advance(100) == [first, joins] and joins.leader is first and joins.outcome == "receipt"
    assert put(model, 2040, later) == "receipt" and later.leader is first
    assert put(model, 2060, beyond) is None and beyond.leader is None
    # Of a write that never ran there is no repeat.
    declined, again = order(idem="j", expires_at=2070), order(idem="j")
    assert put(model, 2061, declined) is None
    assert model.advance(2160) == [beyond, declined] and declined.outcome == "busy"
    assert put(model, 2161, again) is None and again.leader is None


def test_the_origin_when_offered_too_much_declines_and_crashes():
    model = origin(fall_multiple=2.0, fall_ms=200.0, down_s=3.0)
    reads = [order(False, key=str(i)) for i in range(8)]
    assert [put(model, 0, one) for one in reads] == [None] * 4 + ["busy"] * 4
    assert model.crashes == 0 and len(model.advance(200)) == 4
    assert put(model, 199, order(False)) is None
    assert (model.crashes, model.crashed_until) == (1, 3199) and model.in_flight == 1


def test_reads_when_fetches_are_shared_run_once_and_down_modes_respond():
    model = origin(shares_fetches=True)
    pair = [order(False), order(False)]
    assert [put(model, 0, one) for one in pair] == [None, None] and model.in_flight == 1
    assert model.advance(50) == pair and model.advance(99) == []
    model.slow = 3.0
    put(model, 100, order(False))
    assert model.due() == 250
    for how, outcome in (("declines", "busy"), ("errors", "error"), ("silent", None)):
        model.down = how
        assert put(model, 100, order(False, key="b")) == outcome
    with pytest.raises(ValueError, match="the origin cannot be 'tired'"):
        model.down = "tired"
