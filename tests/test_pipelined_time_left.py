"""What a node tells servers of the time that is left, for requests behind many others on one connection."""

from flintridge.lab.run import play
from flintridge.lab.scenario.model import Clients, Load, Nodes, RequestClass, Scenario

SEED = 3


def day(pipeline: int) -> Scenario:
    """A client machine with one connection to the only node, busy enough to have many commands out on it."""
    return Scenario(
        length_s=4.0,
        nodes=Nodes(count=1),
        warmup_s=1.0,
        classes=(RequestClass(name="read", work_ms=100.0),),
        load=Load(rate_per_s=110.0),
        clients=Clients(pipeline=pipeline, pools=1),
        wall_limit_s=120.0,
    )


def test_time_left_when_up_to_sixteen_commands_are_out_is_told_as_the_client_has_it():
    assert not play(day(16), SEED).violation_count


def test_time_left_when_a_command_waited_behind_more_than_sixteen_is_told_as_the_client_has_it():
    """The client's time runs while its command waits, read or unread, for a place in the pipeline."""
    result = play(day(64), SEED)
    assert not result.violation_count, [breach.text for breach in result.violations]
