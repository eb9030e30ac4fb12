"""Failure detectors on hand-set clocks and fleets of them in virtual time, for tests."""

from random import Random

from flintridge.lab.partial.virtual_fleet import MembershipFleet
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.messages import Message, MessageCodec

KEY = b"k" * 32
MAX_AGE_MS = 4_000.0
SUSPICION_MS = 1_500.0


def converged_fleet(count=5, seed=3, **options) -> MembershipFleet:
    """`count` nodes that can all reach one another, 3 s after that."""
    machines = MembershipFleet(count, seed, **options)
    assert machines.run(20_000, lambda: all_reachable(machines)) is not None
    machines.run(3_000)
    return machines


def all_reachable(machines: MembershipFleet, names=None) -> bool:
    """Whether the whole fleet is reachable from each of `names`, which are all of it by default."""
    names = machines.names if names is None else names
    return all(machines.detector(name).reachability.reachable == len(machines.names) for name in names)


def member_states(machines: MembershipFleet, at: str, name: str) -> list[str]:
    """What node `at` shows of each known process of a name."""
    machine = machines.detector(at)
    now = machines.living(at)[-1].clock(machines.now)
    return [
        machine.table.describe_state(member, now, machine.max_age_ms)
        for member in machine.table.members_named(name)
    ]


def newest_alive_at(machines: MembershipFleet, at: str, name: str) -> float:
    """The latest instant, on the lab's clock, at which node `at` takes that name to have been alive."""
    process = machines.living(at)[-1]
    members = process.detector.table.members_named(name)
    newest = max((member.last_alive_at for member in members), default=float("-inf"))
    return process.started_at + (newest - process.clock_offset) / process.clock_rate


def make_detector(names=("n1", "n2"), key=None, log_event=None) -> FailureDetector:
    """Of node n0, incarnation 7, at the instant 0."""
    codec = MessageCodec("fleet", key)
    return FailureDetector(
        "n0", 7, names, codec, 8_000.0, 0.0, Random(1), log_event or (lambda event, **fields: None)
    )


def make_message(**changes) -> Message:
    """A ping of n1's incarnation 9 but for `changes`."""
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
