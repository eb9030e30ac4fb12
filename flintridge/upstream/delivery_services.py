"""What the deliveries of values to clients share."""

from collections.abc import Callable
from dataclasses import dataclass

from flintridge.core.memory_budget import MemoryBudget
from flintridge.runtime.clock import Clock
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog


@dataclass(slots=True, frozen=True)
class DeliveryServices:
    """What the deliveries of a node share.

    Attributes:
        clock: The node's clock.
        respond_by: Returns the instant by which every response has to begin, however long its client waits.
        memory_budget: Memory for the values that are collected.
        process_memory: Memory for everything that the process holds for its clients.
        log: The node's log.
        counters: The node's counters.
    """

    clock: Clock
    respond_by: Callable[[], float]
    memory_budget: MemoryBudget
    process_memory: MemoryBudget
    log: EventLog
    counters: Counters
