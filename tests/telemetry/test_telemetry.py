"""Log events and metrics: they must not raise into a node, block it, or flood the reader of the log."""

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
from flintridge.telemetry.sampling import EventSampler


def decode_lines(sink: io.BytesIO) -> list[dict]:
    return [orjson.loads(line) for line in sink.getvalue().splitlines()]


def test_event_when_its_fields_can_not_be_encoded_as_json_then_a_line_is_still_written():
    class Unprintable:
        def __str__(self):
            raise ValueError("unprintable")

    sink = io.BytesIO()
    log = Log("n1", sink)
    for value in (2**70, "\ud800", Unprintable()):
        log.event("bad", value=value)
    log.event("good", value={1: {2}})
    log.close(30)
    *bad, good = decode_lines(sink)
    assert len(bad) == 3
    assert all(line["event"] == "bad" and line["unserializable"] for line in bad)
    assert good == {"node": "n1", "event": "good", "value": {"1": "{2}"}}


def test_event_when_its_log_is_bound_then_contains_context_and_level():
    sink = io.BytesIO()
    log = Log("n1", sink, level="info")
    request = log.bind(id="a1", server="s1")
    request.debug("below_the_level")
    request.bind(attempt=2, server="s2").event("sent", server="s3", level=5)
    request.warning("slow")
    request.error("broke", ValueError("why"))
    log.event("plain")
    log.close(30)
    sent, slow, broke, plain = decode_lines(sink)
    assert sent == {"node": "n1", "event": "sent", "id": "a1", "server": "s3", "attempt": 2, "level": 5}
    assert slow == {"node": "n1", "event": "slow", "level": "warning", "id": "a1", "server": "s1"}
    assert (broke["level"], broke["error"]) == ("error", "ValueError('why')")
    assert "why" in broke["trace"]
    assert plain == {"node": "n1", "event": "plain"}


def test_sampler_when_events_repeat_then_reports_the_suppressed_ones_after_their_second():
    now_s = [10.2]
    reports = []
    first_suppressed_s = []
    sampler = EventSampler(
        2,
        lambda event, count: reports.append((event, count)),
        lambda: first_suppressed_s.append(now_s[0]),
        lambda: now_s[0],
    )

    def passes(event):
        return sampler.filter(logging.makeLogRecord({"msg": event}))

    assert [passes("a") for _ in range(5)] == [True, True, False, False, False]
    assert passes("b")
    assert passes("events_suppressed")
    assert sampler.has_suppressed
    assert reports == []
    assert first_suppressed_s == [10.2]
    now_s[0] = 10.9
    sampler.flush()
    assert reports == []
    assert not passes("a")
    now_s[0] = 11.0
    assert passes("b")
    assert reports == [("a", 4)]
    assert not sampler.has_suppressed
    assert passes("a")
    assert passes("a")
    assert not passes("a")
    sampler.flush(include_current_second=True)
    assert reports == [("a", 4), ("a", 1)]


def test_log_when_closed_then_has_reported_all_suppressed_events():
    sink = io.BytesIO()
    log = Log("n1", sink, repeats_per_s=3)
    for i in range(100):
        log.event("again", number=i)
    log.close(30)
    lines = decode_lines(sink)
    summaries = [line for line in lines if line["event"] == "events_suppressed"]
    written = len(lines) - len(summaries)
    assert written + sum(line["count"] for line in summaries) == 100
    assert {"suppressed": "again", "level": "warning"}.items() <= summaries[-1].items()
    assert len(lines) < 50


@settings(derandomize=True, deadline=None, database=None)
@given(st.lists(st.floats(0, 1e12), min_size=1), st.sampled_from([0.0, 0.5, 0.9, 0.99, 1.0]))
def test_quantile_when_given_any_fraction_then_is_within_its_bucket(values, fraction):
    histogram = Histogram()
    for value in values:
        histogram.observe(value)
    exact = sorted(values)[max(1, math.ceil(fraction * len(values))) - 1]
    assert histogram.quantile(fraction) == pytest.approx(exact, rel=0.0451, abs=2e-6)
    assert histogram.snapshot()["max"] == max(values)
    assert histogram.count == len(values)


def test_counters_when_added_to_then_report_counts_and_histograms_by_name():
    counters = Counters()
    counters.add("requests")
    for invalid in (-1, math.nan, math.inf):
        with pytest.raises(ValueError, match="is not a finite number of zero or more"):
            counters.observe("list_ms", invalid)
    counters.observe("list_ms", 8)
    assert counters.snapshot() == {"requests": 1}
    assert counters["none"] == 0
    assert counters.histograms()["list_ms"]["count"] == 1
    assert Histogram().quantile(0.5) == 0
