"""Failure detectors with given times, and fleets of them in virtual time, for tests."""

from random import Random

from flintridge.lab.partial.virtual_fleet import MembershipFleet
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.messages import Message, MessageCodec

KEY = b"k" * 32
MAX_AGE_MS = 4_000.0
SUSPICION_MS = 1_500.0


def converged_fleet(count=5, seed=3, **options) -> MembershipFleet:
    """Return a fleet of `count` nodes, 3 s after all of them can reach one another."""
    machines = MembershipFleet(count, seed, **options)
    assert machines.run(20_000, lambda: all_reachable(machines)) is not None
    machines.run(3_000)
    return machines


def all_reachable(machines: MembershipFleet, names=None) -> bool:
    """Whether each of the nodes `names` (default: all) can reach the whole fleet."""
    names = machines.names if names is None else names
    return all(machines.detector(name).reachability.reachable == len(machines.names) for name in names)


def member_states(machines: MembershipFleet, at: str, name: str) -> list[str]:
    """Return the states that node `at` reports for each known process with a name."""
    machine = machines.detector(at)
    now = machines.living(at)[-1].clock(machines.now)
    return [
        machine.table.describe_state(member, now, machine.max_age_ms)
        for member in machine.table.members_named(name)
    ]


def newest_alive_at(machines: MembershipFleet, at: str, name: str) -> float:
    """Return when node `at` believes that node `name` was last alive, on the lab's clock."""
    process = machines.living(at)[-1]
    members = process.detector.table.members_named(name)
    newest = max((member.last_alive_at for member in members), default=float("-inf"))
    return process.started_at + (newest - process.clock_offset) / process.clock_rate


def make_detector(names=("n1", "n2"), key=None, log_event=None) -> FailureDetector:
    """Create the failure detector of node n0, incarnation 7, at time 0."""
    codec = MessageCodec("fleet", key)
    return FailureDetector(
        "n0", 7, names, codec, 8_000.0, 0.0, Random(1), log_event or (lambda event, **fields: None)
    )


def make_message(**changes) -> Message:
    """A ping from n1, incarnation 9, with `changes`."""
    values = {
        "fleet": "fleet",
        "name": "n1",
        "incarnation": 9,
        "refutations": 0,
        "sequence": 1,
        "kind": 1,
        "probe_id": 5,
        "sent_at": 1,
    }
    return Message(**(values | changes))
