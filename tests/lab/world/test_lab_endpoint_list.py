"""The endpoint list, at times that the tests pass in."""

import random

from hypothesis import given
from hypothesis import strategies as st
from support.lab_discovery import endpoint, endpoint_list
from support.network import FIXED

from flintridge.lab.world.endpoint_list import EndpointList, Phase


def listed(model: EndpointList, after: int) -> list[tuple[str, str, float]]:
    changes = model.changes_since(after)
    assert changes is not None
    return [(c.endpoint.id, c.endpoint.phase, c.endpoint.started_at) for c in changes]


def test_changes_when_listed_are_delayed_and_keep_the_order_of_each_endpoint():
    delays = iter([1000.0, 100.0])
    model = EndpointList(10, lambda: next(delays), lambda: 500.0)
    model.add(0.0, endpoint())
    model.observe(0.0, endpoint(phase=Phase.TERMINATED))
    # The restart has a shorter delay, but must not be listed before the termination.
    model.observe(50.0, endpoint(started_at=50.0))
    assert not model.advance(999.0) and listed(model, 11) == []
    assert model.advance(1000.0)
    assert listed(model, 11) == [("a", Phase.IN_SERVICE, 50.0)] and model.revision == 13


def test_a_machine_when_silent_for_long_is_listed_as_terminated_until_it_returns():
    model = endpoint_list(100.0, 500.0, "a")
    model.observe(0.0, endpoint(), silent=True)
    model.observe(0.0, endpoint(), silent=True)
    model.observe(499.0, endpoint())
    assert not model.advance(1e5)
    model.observe(1e5, endpoint(), silent=True)
    model.advance(1e5 + 500)
    assert listed(model, 11) == [("a", Phase.TERMINATED, 0.0)]
    model.observe(1e5 + 600, endpoint())
    model.advance(1e5 + 700)
    assert listed(model, 12) == [("a", Phase.IN_SERVICE, 0.0)]
    # The machine terminated while it was silent: that is listed once the silence ends.
    model.observe(2e5, endpoint(), silent=True)
    model.observe(2e5 + 100, endpoint(phase=Phase.TERMINATED), silent=True)
    model.observe(2e5 + 200, endpoint(phase=Phase.TERMINATED))
    assert not model.advance(2e5 + 299) and model.advance(2e5 + 300)


def test_the_list_when_stale_defers_only_the_changes_since_then():
    model = endpoint_list(100.0, 500.0, "a", "b")
    model.observe(0.0, endpoint("a", Phase.TERMINATING))
    model.stale_since = 50.0
    model.observe(60.0, endpoint("b", Phase.TERMINATING))
    model.observe(70.0, endpoint("b", Phase.TERMINATED))
    model.advance(1000.0)
    assert listed(model, 12) == [("a", Phase.TERMINATING, 0.0)]
    model.stale_since = None
    model.advance(1001.0)
    assert listed(model, 13) == [("b", Phase.TERMINATED, 0.0)]


def test_a_node_when_too_far_behind_or_ahead_needs_the_complete_list():
    model = endpoint_list(0.0, 0.0, "a")
    for i in range(3000):
        model.observe(i, endpoint(phase=Phase.TERMINATING if i % 2 else Phase.IN_SERVICE))
        model.advance(i)
    assert (
        model.changes_since(0) is None
        and model.changes_since(11) is None
        and model.changes_since(model.revision + 1) is None
    )
    assert len(listed(model, model.revision - 500)) == 1 and len(model._changes) < 1100


STATES = st.sampled_from([Phase.IN_SERVICE, Phase.TERMINATING, Phase.TERMINATED, "silent", "stale", "fresh"])


@FIXED
@given(st.lists(st.tuples(st.integers(0, 3), STATES, st.floats(0, 400)), max_size=40), st.integers(1, 50))
def test_changes_when_applied_to_any_revision_give_the_complete_list(events, call_interval):
    rng = random.Random(1)
    model = EndpointList(10, lambda: rng.uniform(0, 300), lambda: rng.uniform(100, 600))
    now, known, revision = 0.0, {}, 0
    actual = {name: endpoint(name) for name in "abcd"}
    for index, state, pause in [*events, (0, "fresh", 0.0), (0, "fresh", 5000.0)]:
        now += pause
        name = "abcd"[index]
        if state in ("stale", "fresh"):
            model.stale_since = now if state == "stale" else None
        else:
            phase = actual[name].phase if state == "silent" else state
            actual[name] = endpoint(
                name, phase, now if phase == Phase.IN_SERVICE else actual[name].started_at
            )
            model.observe(now, actual[name], silent=state == "silent")
        model.advance(now)
        if int(now) % call_interval == 0:  # a node that calls from time to time
            changes, revision = model.changes_since(revision), model.revision
            known = known if changes is not None else {}
            for change in model.snapshot() if changes is None else changes:
                known[change.endpoint.id] = change.endpoint
    model.advance(now)
    for change in model.changes_since(revision) or ([] if revision else model.snapshot()):
        known[change.endpoint.id] = change.endpoint
    alive = {name: one for name, one in known.items() if one.phase != Phase.TERMINATED}
    assert alive == {change.endpoint.id: change.endpoint for change in model.snapshot()}
    assert [c.revision for c in model._changes] == list(range(11, model.revision + 1))
