"""The remaining time that a node sends to servers, for requests queued behind others on a connection."""

from flintridge.lab.run import play
from flintridge.lab.scenario.model import Clients, Load, Nodes, RequestClass, Scenario

SEED = 3


def scenario(pipeline: int) -> Scenario:
    """One client connection to the only node, with enough load to have many commands pipelined on it."""
    return Scenario(
        length_s=4.0,
        nodes=Nodes(count=1),
        warmup_s=1.0,
        classes=(RequestClass(name="read", work_ms=100.0),),
        load=Load(rate_per_s=110.0),
        clients=Clients(pipeline=pipeline, pools=1),
        wall_limit_s=120.0,
    )


def test_time_left_when_up_to_sixteen_commands_are_pipelined_is_sent_as_the_client_has_it():
    assert not play(scenario(16), SEED).violation_count


def test_time_left_when_a_command_waited_behind_more_than_sixteen_is_sent_as_the_client_has_it():
    """The client's timeout also runs while its command waits, read or unread, to enter the pipeline."""
    result = play(scenario(64), SEED)
    assert not result.violation_count, [violation.text for violation in result.violations]
