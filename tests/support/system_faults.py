"""Scenarios and states with operating system faults at the nodes."""

import msgspec

from flintridge.lab.faults.injection import CallErrors, SystemState
from flintridge.lab.scenario.load import load

SHORT = ["length_s=3", "warmup_s=1", "load.rate_per_s=60", "nodes.count=2", "nodes.zones=[]"]


def failing(call, name, part=1.0):
    return SystemState(calls=(CallErrors(call, (name,), part),))


def day_of(*faults):
    return msgspec.structs.replace(load("calm", SHORT), faults=faults)
