"""The metrics of a run."""

import math

import pytest
from support.judge import (
    last_record,
    request,
    response,
    scenario,
    served,
)

from flintridge.lab import records as r
from flintridge.lab.judge.verdict import judge


def test_metrics_when_requests_are_served_late_or_rejected_then_match_the_log():
    log = [
        *served(-900, "w", counted=False),
        *served(100, "in"),
        *served(1200, "late", duration_ms=600),
        *served(2300, "over", duration_ms=2100, time_left_ms=2500, connection=2),
        request(3000, "r1", connection=3, tenant="t", time_left_ms=800),
        response(3050, "refused", request_id="r1"),
        request(
            3100,
            "r2",
            connection=3,
            first_request_id="r1",
            attempt_number=1,
            scheduled_ms=3000,
            tenant="t",
            time_left_ms=800,
        ),
        response(3150, "refused", request_id="r2"),
        r.RequestNotAccepted(
            at_ms=4100,
            node="n0",
            request_id="x",
            first_request_id="x",
            attempt_number=0,
            scheduled_ms=4000,
            class_name="pay",
            tenant="",
            key="k",
            write=True,
        ),
        r.FaultChanged(at_ms=500, name="burst", begins=True, detail="x2"),
        r.FaultChanged(at_ms=900, name="burst", begins=False),
        last_record(5000),
    ]
    prices = {"late_fail": 0.1}
    goal = {"whole": 0.5, "worst_class": 0.5}
    settings = scenario(goal=goal, prices=prices, length_s=8.0)
    result = judge(sorted(log, key=lambda x: x.at_ms), settings, 1, "virtual")
    counts = (result.requests, result.served, result.served_within_objective, result.rejected, result.failed)
    assert counts == (5, 3, 1, 1, 1)
    # Weight 1 within the objective and 0.5 late, out of 4 reads of weight 1 and one request of weight 3.
    assert result.goodput == pytest.approx(1.5 / 7, abs=1e-6)
    assert result.goodput_by_class == {"pay": 0.0, "read": 0.375}
    assert (result.latency_ms.p50, result.latency_ms.max, result.latency_ms.count) == (600.0, 2100.0, 3)
    assert result.client_attempts_per_request == 1.2
    assert result.attempts_per_request == 0.6
    assert result.goal == pytest.approx(0.5 * result.goodput)  # no request failed after its objective
    assert [w.requests for w in result.windows] == [1, 1, 1, 1, 1, 0, 0, 0]
    assert result.windows[0].in_flight == {"s1": 0.089}
    assert sum(w.in_flight.get("s1", 0) for w in result.windows) == pytest.approx(0.089 + 0.589 + 2.089)
    assert result.faults == [("burst", 0.5, 0.9), ("flush", 5.0, 8.0)]
    assert math.isfinite(result.min_window_goodput)
    assert sum(result.rules.values()) == 0
