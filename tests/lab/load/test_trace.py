"""Traces: written, checked and replayed."""

import re

import pytest

from flintridge.lab.load import trace
from flintridge.lab.load.arrival_schedule import ArrivalSchedule
from flintridge.lab.load.arrivals import step_of
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds

SCENARIO = Scenario(
    length_s=4, warmup_s=1, load=model.Load(rate_per_s=200, shape="bursty", swing=0.8, period_s=2)
)


def test_trace_when_replayed_then_gives_the_same_requests(tmp_path):
    schedule = ArrivalSchedule(SCENARIO, Seeds(3), ["east"])
    requests = list(schedule.all())
    path = tmp_path / "trace.jsonl"
    assert trace.write(path, requests) == len(requests) > 500
    with pytest.raises(FileExistsError):
        trace.write(path, requests)
    again = Scenario(length_s=4, warmup_s=1, load=model.Load(trace="trace.jsonl"))
    replayed = ArrivalSchedule(again, Seeds(9), ["east"], base=tmp_path)
    assert list(replayed.all()) == requests
    repeated = [
        s for n in range(step_of(-1000), 17) for s in replayed.step(n, lambda t: 2.5 if t > 0 else 0.0)
    ]
    assert {s.layer for s in repeated} == {0, 1, 2} and min(s.at_ms for s in repeated) > 0
    replayed.keys.set_hot_key(1.0)
    assert replayed.request(repeated[0]).request.key == replayed.keys.hot


LINE = b'{"due_ms":5.0,"cls":"read","tenant":"","key":"k","write":false,"work_ms":1.0,"size":9,"zone":"east"}'


MALFORMED = [
    (LINE, LINE.replace(b"5.0", b"4.0"), "line 2: due_ms: 4.0"),
    (LINE, LINE[:-1], "line 2: Input data was truncated"),
    (LINE.replace(b'"read"', b'"rad"'), b"", "line 1: cls: 'rad': not a class of the scenario (read)"),
    (LINE.replace(b'"t', b'"x":1,"t'), b"", "line 1: Object contains unknown field `x`"),
    (LINE.replace(b"9", b'"9"'), b"", "line 1: Expected `int`, got `str` - at `$.size`"),
    (LINE.replace(b"9", b"99999"), b"", "line 1: size: 99999: must be 0 to 65536"),
    (LINE.replace(b'"k"', b'"a b"'), b"", "line 1: key: 'a b'"),
    (LINE.replace(b"1.0", b"-1.0"), b"", "line 1: work_ms: -1.0"),
    (LINE.replace(b"false", b"true"), b"", "line 1: write: True"),
    (
        LINE.replace(b'"tenant":""', b'"tenant":"x"'),
        b"",
        "line 1: tenant: 'x': not a tenant of the scenario (none)",
    ),
    (LINE.replace(b"east", b"west"), b"", "line 1: zone: 'west'"),
    (b"\xff\xfe", b"", "line 1: "),
]


@pytest.mark.parametrize(("first", "second", "message"), MALFORMED)
def test_trace_when_malformed_then_is_reported_by_line_and_reason(first, second, message):
    with pytest.raises(ValueError, match=re.escape(f"t.jsonl: {message}")):
        list(trace.parse([first, second], Scenario(), "t.jsonl"))
