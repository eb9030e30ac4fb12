"""Admission of the values that a client connection announces: each waits for memory until it is free."""

from typing import Protocol

from flintridge.api import Settings
from flintridge.codec.memcache.commands import ValueAnnounced
from flintridge.core.deadlines import client_timeout_ms
from flintridge.downstream.command_input import CommandInput
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog


class AdmissionOwner(Protocol):
    """What the value admissions of a process share.

    Attributes:
        settings: The node's settings.
        counters: The node's counters.
        log: The node's event log.
    """

    settings: Settings
    counters: Counters
    log: EventLog


class ValueAdmission:
    """Reserves memory for the values of one connection."""

    __slots__ = ("_input", "_owner")

    def __init__(self, owner: AdmissionOwner, command_input: CommandInput) -> None:
        """Start with a new connection.

        Args:
            owner: The listener that accepted the connection.
            command_input: The connection's input, whose `value_memory` has the reservation.
        """
        self._owner = owner
        self._input = command_input

    async def reserve(self, announced: ValueAnnounced) -> bool:
        """Reserve memory for a value, waiting until it is free or the client could hardly be answered.

        Args:
            announced: The value.

        Returns:
            Whether the memory was reserved.
        """
        timeout_ms = client_timeout_ms(announced.request, self._owner.settings.classes)
        granted = await self._input.reserve_memory(announced.length, timeout_ms)
        waited_ms = round(self._input.value_memory.wait_ms)
        if waited_ms or not granted:
            self._owner.counters.add("values_waited_for_memory")
            self._owner.log.event(
                "value_waited_for_memory",
                id=announced.request.id.decode("ascii", "replace"),
                length=announced.length,
                waited_ms=waited_ms,
                granted=granted,
            )
        return granted
