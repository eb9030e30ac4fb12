"""Rules on a node's process."""

import pytest
from support.judge import TERMINATION, node_state, violated_rules

from flintridge.lab import records as r


def malformed_client(outcome, elapsed_ms):
    return r.MalformedClientEnded(
        at_ms=1, node="n0", kind="flood", outcome=outcome, elapsed_ms=elapsed_ms, limit_ms=9
    )


@pytest.mark.parametrize(
    ("log", "rules"),
    [
        ([node_state(0, "started"), node_state(5, "exited")], {"stopped"}),
        ([node_state(0, "started"), node_state(5, "killed")], set()),
        ([node_state(0, "started"), node_state(5, "stuck")], {"stopped"}),
        ([TERMINATION, node_state(900, "exited")], set()),
        ([TERMINATION, node_state(900, "exited", code=1)], {"stopped"}),
        ([TERMINATION, node_state(4200, "exited")], set()),
        ([TERMINATION, node_state(4400, "exited")], {"stopped"}),
        ([TERMINATION, node_state(4000, "killed")], {"stopped"}),  # killed after its whole termination time
        ([TERMINATION, node_state(3990, "killed")], set()),
        ([TERMINATION], {"stopped"}),
        ([malformed_client("served", 1)], {"bad_clients"}),
        ([malformed_client("nothing", 9)], set()),
    ],
)
def test_processes_when_they_end_wrongly_then_violate_only_their_rules(log, rules):
    assert set(violated_rules(log)) == rules
