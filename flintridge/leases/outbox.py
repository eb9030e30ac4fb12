"""Lease messages that are queued for the next datagram to their receiver."""

from dataclasses import dataclass, field
from typing import NamedTuple

from flintridge.leases.allocation import ProcessId
from flintridge.leases.messages import MAX_MESSAGES, LeaseMessage, LimitMessage


class _MessageKey(NamedTuple):
    """Identifies messages of which only the newest is kept."""

    limit_digest: bytes
    kind: type[LeaseMessage]
    lease_id: int


@dataclass(slots=True)
class Outbox:
    """For each receiver, the newest message of each kind, limit and lease, with the oldest message first."""

    _queued: dict[ProcessId, dict[_MessageKey, LimitMessage]] = field(default_factory=dict)

    def add(self, receiver: ProcessId, limit_message: LimitMessage) -> None:
        """Queue a message; if the receiver then has more than MAX_MESSAGES, drop the oldest.

        A dropped message has the same effect as a lost datagram: requests are repeated, and leases expire.
        """
        queued = self._queued.setdefault(receiver, {})
        queued[_message_key(limit_message)] = limit_message
        while len(queued) > MAX_MESSAGES:
            queued.pop(next(iter(queued)))

    def queued_for(self, receiver: ProcessId) -> list[LimitMessage]:
        """The messages queued for a process, oldest first."""
        return list(self._queued.get(receiver, {}).values())

    def mark_sent(self, receiver: ProcessId, sent: list[LimitMessage]) -> None:
        """Remove messages that were put into a datagram."""
        queued = self._queued.get(receiver, {})
        for limit_message in sent:
            queued.pop(_message_key(limit_message), None)
        if not queued:
            self._queued.pop(receiver, None)

    def receivers(self) -> list[ProcessId]:
        """The processes with queued messages."""
        return list(self._queued)

    def drop(self, receiver: ProcessId) -> None:
        """Drop all messages queued for a process."""
        self._queued.pop(receiver, None)


def _message_key(limit_message: LimitMessage) -> _MessageKey:
    message = limit_message.message
    return _MessageKey(limit_message.limit_digest, type(message), message.lease_id)
