"""The metrics of each second of a run."""

import math
from collections.abc import Iterable, Sequence

import numpy as np

from flintridge.lab.judge.goodput import RequestOutcome
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AttemptOutcome
from flintridge.lab.result import Window
from flintridge.lab.scenario.model import Scenario

MS_DIGITS = 3
WINDOW_MS = 1000.0


def percentiles(times_ms: Sequence[float], at: tuple[float, ...]) -> list[float]:
    """Return, for each percentage in `at`, the least time that this share of the times does not exceed."""
    found = np.percentile(np.asarray(times_ms), at, method="inverted_cdf")
    return [round(float(value), MS_DIGITS) for value in found]


def windows_of(history: History, outcomes: Iterable[RequestOutcome]) -> list[Window]:
    """Return the run's windows: requests by their scheduled times, attempts by their arrival at servers."""
    count = max(1, math.ceil(history.scenario.length_s))
    windows = [Window(t_s=float(second)) for second in range(count)]
    latencies_ms: list[list[float]] = [[] for _ in windows]
    for outcome in outcomes:
        second = min(count - 1, max(0, math.floor(outcome.scheduled_ms / WINDOW_MS)))
        _add_request(windows[second], latencies_ms[second], outcome)
    for window, latencies in zip(windows, latencies_ms, strict=True):
        if latencies:
            window.p50, window.p99 = percentiles(latencies, (50, 99))
    _add_attempts(history, windows)
    return windows


def _add_request(window: Window, latencies_ms: list[float], outcome: RequestOutcome) -> None:
    window.requests += 1
    window.offered_weight += outcome.offered_weight
    window.achieved_weight += outcome.achieved_weight
    latency_ms = outcome.latency_ms
    if latency_ms is not None:
        window.served += 1
        if outcome.is_within_objective:
            window.within_objective += 1
        latencies_ms.append(latency_ms)
    elif outcome.is_rejected:
        window.rejected += 1
    else:
        window.failed += 1


def _add_attempts(history: History, windows: list[Window]) -> None:
    """Count attempts by the second of their arrival, and average the attempts in flight at each server."""
    for outcome in history.outcomes.values():
        second = math.floor(outcome.record.at_ms / WINDOW_MS)
        if 0 <= second < len(windows):
            windows[second].attempts += 1
            if outcome.record.is_origin:
                windows[second].origin_attempts += 1
        _add_in_flight(windows, outcome)
    for window in windows:
        in_flight = sorted(window.in_flight.items())
        window.in_flight = {server: round(mean, MS_DIGITS) for server, mean in in_flight}


def _add_in_flight(windows: list[Window], outcome: AttemptOutcome) -> None:
    server = outcome.server
    end_ms = min(outcome.in_flight_until_ms, WINDOW_MS * len(windows))
    at_ms = max(0.0, outcome.record.at_ms)
    while at_ms < end_ms:
        second = math.floor(at_ms / WINDOW_MS)
        until_ms = min(end_ms, WINDOW_MS * (second + 1))
        in_flight = windows[second].in_flight
        in_flight[server] = in_flight.get(server, 0.0) + (until_ms - at_ms) / WINDOW_MS
        at_ms = until_ms


def min_window_goodput(scenario: Scenario, windows: list[Window]) -> float:
    """Return the minimum goodput of a sliding window of `goal.window_s`, which moves by one second."""
    span = min(len(windows), max(1, round(scenario.goal.window_s)))
    minimum = 1.0
    for first in range(len(windows) - span + 1):
        stretch = windows[first : first + span]
        offered = sum(window.offered_weight for window in stretch)
        if offered:
            minimum = min(minimum, sum(window.achieved_weight for window in stretch) / offered)
    return minimum
