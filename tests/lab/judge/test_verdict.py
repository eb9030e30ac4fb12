"""The judge as a whole: reports, real-time tolerances, and runs without faults."""

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from support.judge import (
    ABANDONED,
    KEYED,
    UNANSWERED,
    attempt,
    endpoints,
    last_record,
    repeat,
    request,
    response,
    scenario,
    served,
    violated_rules,
)

from flintridge.lab import records as r
from flintridge.lab.judge.verdict import judge

FIXED = hypothesis_settings(derandomize=True, deadline=None, database=None, max_examples=60)


def test_violations_when_a_rule_has_many_then_only_the_first_are_reported_in_full():
    log = [request(float(i), f"u{i}", connection=i) for i in range(9)]
    result = judge([*log, last_record()], scenario(), 7, "virtual")
    assert result.rules["lost"] == 9
    assert len(result.violations) == 5
    assert (result.seed, result.backend, result.records) == (7, "virtual", 10)


def test_limits_when_in_real_time_then_are_longer():
    assert violated_rules([endpoints(0, "terminating"), *served(2045)], "loopback") == {}
    assert violated_rules([*KEYED, *repeat(450, served_ms=500), response(510)], "loopback") == {}
    # A client that leaves at its timeout can't tell a late response from none: only a node that had surely
    # not responded violates the rule.
    assert violated_rules([*UNANSWERED, ABANDONED], "loopback") == {"lost": 1}
    assert violated_rules([request(), *attempt(5, served_ms=980), ABANDONED], "loopback") == {}


@FIXED
@given(st.lists(st.tuples(st.floats(0, 9000), st.floats(5, 900)), max_size=20), st.randoms())
def test_rules_when_nodes_are_correct_then_are_not_violated(times, random):
    """Any mix of concurrent responses of a correct node, on any number of connections, violates no rule."""
    log: list[r.AnyRecord] = []
    for i, (at_ms, duration_ms) in enumerate(times):
        kind = random.choice(["served", "refused", "failed"])
        log.append(request(at_ms, f"u{i}", connection=i))
        log += attempt(
            at_ms + 0.4,
            f"u{i}",
            served_ms=at_ms + duration_ms * 0.9,
            outcome="value" if kind == "served" else "error",
        )
        log.append(response(at_ms + duration_ms, kind, request_id=f"u{i}"))
    assert violated_rules(log) == {}
