"""Results and scenarios for tests of reports and lab commands, and what any report has to satisfy."""

import re

from flintridge.lab.result import Latency, Result, Violation, Window
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

FAKE_RUNNER = __name__ + ":fake"
HOSTILE_TEXT = '</pre><script>alert(1)</script> & "quoted" [bold] {{ 7*7 }}'


def windows(count=30, servers=3):
    return [
        Window(
            t_s=float(t),
            requests=100,
            served=90 - t % 7,
            within_objective=80 - t % 7,
            rejected=5,
            failed=2,
            offered_weight=100.0,
            achieved_weight=85.0 - t % 7,
            p50=20.0,
            p99=300.0 + 10 * t,
            attempts=150,
            origin_attempts=12,
            in_flight={f"s-{n}": float(n + t % 3) for n in range(servers)},
        )
        for t in range(count)
    ]


def result(**named):
    plain = {
        "scenario": "day",
        "seed": 1,
        "backend": "virtual",
        "requests": 3000,
        "rules": {"drain": 1, "lost": 0},
        "latency_ms": Latency(p50=20, p99=400, p999=1500),
        "goodput": 0.8,
        "violations": [
            Violation(
                rule="drain",
                at_ms=9100,
                request_id="ab",
                node="n0",
                server="s-1",
                text=HOSTILE_TEXT,
                records=[HOSTILE_TEXT],
            )
        ],
        "windows": windows(),
        "faults": [("crash", 5.0, 12.0), ("drain", 9.0, 9.0), (HOSTILE_TEXT, 20.0, 99.0)],
        "counters": {"n0": {"taken": 5}, "n1": {"sent": 7}},
    }
    return Result(**{**plain, **named})


def fake(scenario, seed, *, backend="virtual", defect=None, events=None):
    """A `play` that does what the scenario's name says."""
    if scenario.name == "raises":
        raise ValueError("on purpose")
    if events is not None:
        events.write_text('{"what":"node"}\n')
    rate = scenario.load.rate_per_s
    breaks = int(rate > 500)
    return result(scenario=scenario.name, seed=seed, goodput=1 - rate / 1000, rules={"drain": breaks})


def check_page(page):
    assert page.lstrip().startswith("<!DOCTYPE html>") and page.rstrip().endswith("</html>")
    # Nothing is loaded, nothing is run, and what came from the wire stays text.
    assert not re.search(r"<script|<link|<img|<iframe|@import|javascript:|\son\w+=", page)
    for address in re.findall(r'(?:src|href|url)\s*[=(]\s*"?([^")\s]+)', page):
        assert address.startswith(("#", "data:")), address
    ids = re.findall(r'\sid="([^"]+)"', page)
    assert len(ids) == len(set(ids))
    for used in re.findall(r'(?:href="#|url\(#)([^")]+)', page):
        assert used in ids
    return page


def load_rate(rate):
    return Scenario(load=model.Load(rate_per_s=rate))
