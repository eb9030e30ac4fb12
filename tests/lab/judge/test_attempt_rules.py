"""Rules on attempts: `twice`, `attempts` and `after_answer`."""

import pytest
from support.judge import KEYED, attempt, repeat, request, response, served, violated_rules

from flintridge.lab import records as r

UNSAFE = [
    request(class_name="pay", time_left_ms=2000.0),
    *attempt(5, server="origin", is_origin=True, write=True),
]

ZONAL = [
    request(class_name="zonal", time_left_ms=2000.0),
    *(
        r.ServerStateChanged(at_ms=-9, server=s, state="started", zone=z)
        for s, z in (("s1", "a"), ("s2", "b"), ("s3", "a"))
    ),
    *attempt(5, write=True),
]


def rejected_attempt(at_ms):
    return attempt(5, write=True, served_ms=at_ms, outcome="busy")


@pytest.mark.parametrize(
    ("log", "rules"),
    [
        # `twice`: repeats of a request that must not be executed twice
        ([*UNSAFE, *repeat(300, served_ms=400), response(410)], {"twice"}),
        ([*UNSAFE[:1], *rejected_attempt(299), *repeat(300, served_ms=400), response(410)], set()),
        ([*UNSAFE[:1], *rejected_attempt(301), *repeat(300, served_ms=400), response(410)], {"twice"}),
        ([*UNSAFE, response(400, "refused")], {"twice"}),
        ([*UNSAFE, response(400, "failed")], set()),
        ([*KEYED, response(400, "refused")], set()),
        ([*KEYED, *repeat(404, served_ms=500), response(510)], set()),
        ([*KEYED, *repeat(406, served_ms=500), response(510)], {"twice"}),
        ([*ZONAL, *repeat(300, "s3", served_ms=400), response(410)], set()),
        ([*ZONAL, *repeat(300, "s2", served_ms=400), response(410)], {"twice"}),
        ([*ZONAL, response(400, "refused")], {"twice"}),
        # `attempts`: more than 3; `after_answer`: an attempt that starts after the response
        ([request(), *attempt(5), *attempt(20), *attempt(30, served_ms=50), response(60)], set()),
        (
            [request(), *attempt(5), *attempt(20), *attempt(30), *attempt(40, served_ms=50), response(60)],
            {"attempts"},
        ),
        ([*served(), *attempt(100.5)], set()),
        ([*served(), *attempt(110)], {"after_answer"}),
        ([*served(), *attempt(300, connection=2)], set()),
        ([*served(), *attempt(390, connection=2)], {"after_answer"}),
    ],
)
def test_attempts_when_harmful_too_many_or_late_then_violate_only_their_rules(log, rules):
    assert set(violated_rules(log)) == rules


def test_hedged_requests_when_not_allowed_then_violate_the_rule_on_repeats():
    limits = {"second_copies": False, "max_attempts": 6}
    finished = [
        request(),
        *attempt(5, served_ms=60, outcome="error"),
        *attempt(58, served_ms=90),
        response(95),
    ]
    overlapping = [
        request(),
        *attempt(5, served_ms=160, outcome="error"),
        *attempt(58, served_ms=90),
        response(95),
    ]
    vanished = [request(), *attempt(5), *attempt(58, served_ms=90), response(95)]
    assert violated_rules(finished, limits=limits) == {}
    assert violated_rules(vanished, limits=limits) == {}
    assert violated_rules(overlapping, limits=limits) == {"twice": 1}
    assert violated_rules(overlapping) == {}
