"""The events of random runs in virtual time, and functions that inject the faults among them."""

from enum import StrEnum
from random import Random
from typing import Any

from flintridge.lab.partial.virtual_fleet import VirtualFleet


class RunEvent(StrEnum):
    """An event of a random run."""

    DEMAND = "need"
    PAUSE = "pause"
    KILL = "kill"
    LEAVE = "leave"
    PARTITION = "cut"
    ONE_WAY_PARTITION = "one way"
    HEAL = "heal"
    SLOW_LINKS = "slow"


PARTITIONS = (RunEvent.PARTITION, RunEvent.ONE_WAY_PARTITION)


def partition_random_group(fleet: VirtualFleet[Any], rng: Random, event: RunEvent) -> None:
    """Cut a random group of up to half of the nodes off from the others.

    For `RunEvent.PARTITION` the links are cut in both directions, otherwise only those from the group to the
    other nodes.
    """
    size = rng.randint(1, len(fleet.names) // 2)
    group = tuple(rng.sample(fleet.names, size))
    peers = tuple(name for name in fleet.names if name not in group)
    fleet.cut(group, peers, both=event is RunEvent.PARTITION)


def pause_for(fleet: VirtualFleet[Any], name: str, duration_ms: float) -> None:
    """Pause a node, and schedule its resumption after `duration_ms`."""
    fleet.pause(name)
    fleet.at(fleet.now + duration_ms, lambda: fleet.resume(name))
