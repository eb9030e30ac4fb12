"""The rule `drain` on attempts at servers that are leaving or gone."""

import pytest
from support.judge import endpoints, node_state, served, server_started, violated_rules


@pytest.mark.parametrize(
    ("log", "rules"),
    [
        ([endpoints(0, "terminating"), *served(1990)], set()),
        ([endpoints(0, "terminating"), *served(2010)], {"drain"}),
        ([endpoints(0, "terminating", assumed=True), *served(2010)], {"drain"}),
        ([endpoints(0, "terminating"), endpoints(9, "in_service"), *served(2010)], set()),
        (
            [endpoints(-9, "in_service"), endpoints(0, "in_service", True, server="s2"), *served(2010)],
            {"drain"},
        ),
        ([endpoints(0, "in_service", True, server="s2"), *served(2010)], {"drain"}),
        # never listed, and started later: the attempt was meant for the server that had its address before
        ([server_started(1), endpoints(0, "in_service", True, server="s2"), *served(2010)], set()),
        ([server_started(-1), endpoints(0, "in_service", True, server="s2"), *served(2010)], {"drain"}),
        ([endpoints(0, "in_service", server="s2"), *served(2010)], set()),
        ([endpoints(0, "terminating"), node_state(5, "started"), *served(2010)], set()),
    ],
)
def test_attempts_when_their_server_is_known_to_leave_then_violate_the_rule_on_drains(log, rules):
    assert set(violated_rules(log)) == rules
