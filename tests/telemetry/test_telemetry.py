"""Event lines and metrics: nothing of them may raise into a node, hold it up, or flood whoever reads."""

import io
import logging
import math

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.telemetry.counters import Counters
from flintridge.telemetry.histogram import Histogram
from flintridge.telemetry.log import Log
from flintridge.telemetry.sampling import Sampler


def lines_of(sink: io.BytesIO) -> list[dict]:
    return [orjson.loads(line) for line in sink.getvalue().splitlines()]


def test_fields_that_no_json_holds_make_a_line_all_the_same():
    class Odd:
        def __str__(self):
            raise ValueError("odd")

    log = Log("n1", sink := io.BytesIO())
    for value in (2**70, "\ud800", Odd()):
        log.event("bad", value=value)
    log.event("good", value={1: {2}})
    log.close(30)
    *bad, good = lines_of(sink)
    assert all(line["event"] == "bad" and line["unprintable"] for line in bad) and len(bad) == 3
    assert good == {"node": "n1", "event": "good", "value": {"1": "{2}"}}


def test_levels_and_context():
    log = Log("n1", sink := io.BytesIO(), level="info")
    request = log.bind(id="a1", server="s1")
    request.debug("left_out")
    request.bind(attempt=2, server="s2").event("sent", server="s3", level=5)
    request.warning("slow")
    request.error("broke", ValueError("why"))
    log.event("plain")
    log.close(30)
    sent, slow, broke, plain = lines_of(sink)
    assert sent == {"node": "n1", "event": "sent", "id": "a1", "server": "s3", "attempt": 2, "level": 5}
    assert slow == {"node": "n1", "event": "slow", "level": "warning", "id": "a1", "server": "s1"}
    assert (broke["level"], broke["error"]) == ("error", "ValueError('why')") and "why" in broke["trace"]
    assert plain == {"node": "n1", "event": "plain"}


def test_repeats_beyond_the_bound_are_counted_and_told_once_their_second_is_over():
    now, told, began = [10.2], [], []
    sampler = Sampler(2, lambda *held: told.append(held), lambda: began.append(now[0]), lambda: now[0])

    def passes(event):
        return sampler.filter(logging.makeLogRecord({"msg": event}))

    assert [passes("a") for _ in range(5)] == [True, True, False, False, False]
    assert passes("b") and passes("repeated") and sampler.holding and told == [] and began == [10.2]
    now[0] = 10.9
    sampler.flush()
    assert told == [] and not passes("a")
    now[0] = 11.0
    assert passes("b") and told == [("a", 4)] and not sampler.holding
    assert passes("a") and passes("a") and not passes("a")
    sampler.flush(at_once=True)
    assert told == [("a", 4), ("a", 1)]


def test_what_is_held_back_is_told_at_the_end_at_the_latest():
    log = Log("n1", sink := io.BytesIO(), repeats_per_s=3)
    for i in range(100):
        log.event("again", number=i)
    log.close(30)
    lines = lines_of(sink)
    repeats = [line for line in lines if line["event"] == "repeated"]
    assert sum(line["count"] for line in repeats) + len(lines) - len(repeats) == 100
    assert {"of": "again", "level": "warning"}.items() <= repeats[-1].items() and len(lines) < 50


@settings(derandomize=True, deadline=None, database=None)
@given(st.lists(st.floats(0, 1e12), min_size=1), st.sampled_from([0.0, 0.5, 0.9, 0.99, 1.0]))
def test_quantiles_are_within_their_bucket(figures, part):
    histogram = Histogram()
    for figure in figures:
        histogram.observe(figure)
    exact = sorted(figures)[max(1, math.ceil(part * len(figures))) - 1]
    assert histogram.quantile(part) == pytest.approx(exact, rel=0.0451, abs=2e-6)
    assert histogram.snapshot()["max"] == max(figures) and histogram.count == len(figures)


def test_counters_and_histograms_by_name():
    counters = Counters()
    counters.add("taken")
    for wrong in (-1, math.nan, math.inf):
        with pytest.raises(ValueError, match="not a figure"):
            counters.observe("list_ms", wrong)
    counters.observe("list_ms", 8)
    assert counters.snapshot() == {"taken": 1} and counters["none"] == 0
    assert counters.histograms()["list_ms"]["count"] == 1 and Histogram().quantile(0.5) == 0
