"""Topics: small payloads of other packages that travel in the membership protocol's datagrams."""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.member import Member
from flintridge.membership.messages import Message

# Largest encoded size of a payload beyond its data and its topic's name.
PAYLOAD_OVERHEAD_BYTES = 8


class Topic(Protocol):
    """What another package sends and receives; its payloads take at most `bytes_per_s` bytes a second."""

    name: str
    bytes_per_s: float

    def payload_for(self, now: float, to: Member, max_bytes: int, /) -> bytes | None:
        """The payload for a message to `to`, in at most `max_bytes`; None if there is none."""

    def receive_payload(self, now: float, name: str, incarnation: int, as_of: float, data: bytes, /) -> None:
        """Process a member's payload, once per datagram; sent at `as_of` on this node's clock or later."""


@dataclass(slots=True, frozen=True)
class _Registration:
    topic: Topic
    budget: ByteBudget


class TopicRegistry:
    """The topics of a node, in the order of their registration."""

    def __init__(self, counters: Counter[str]) -> None:
        """Start without topics; `counters` counts payloads that are dropped instead of sent or received."""
        self._counters = counters
        self._registrations: dict[str, _Registration] = {}

    def __bool__(self) -> bool:
        """Whether any topic is registered."""
        return bool(self._registrations)

    def register(self, topic: Topic) -> None:
        """Add a topic.

        Raises:
            ValueError: A topic of that name is registered already.
        """
        if topic.name in self._registrations:
            raise ValueError(f"topic {topic.name} is registered")
        self._registrations[topic.name] = _Registration(topic, ByteBudget(topic.bytes_per_s))

    def receive(self, message: Message, as_of: float, now: float) -> None:
        """Pass each payload of a message to its topic."""
        for name, payload in message.payloads:
            registration = self._registrations.get(name)
            if registration is None:
                self._counters["payloads_unknown"] += 1
            else:
                registration.topic.receive_payload(now, message.name, message.incarnation, as_of, payload)

    def payloads_for(self, to: Member, now: float, max_bytes: int) -> tuple[tuple[str, bytes], ...]:
        """The payloads for a message to `to`, each with its topic's name, in at most `max_bytes`."""
        if to.newest_sent_at < 0:
            return ()  # the receiver could not tell how old they are, and would drop them
        payloads = []
        for name, registration in self._registrations.items():
            budget = registration.budget
            overhead = len(name) + PAYLOAD_OVERHEAD_BYTES
            max_payload_bytes = int(min(max_bytes, budget.available(now))) - overhead
            if max_payload_bytes <= 0:
                continue
            payload = registration.topic.payload_for(now, to, max_payload_bytes)
            if payload is None:
                continue
            size = len(payload) + overhead
            if len(payload) > max_payload_bytes or not budget.try_spend(now, size):
                self._counters["payloads_too_long"] += 1  # the payload is not sent
                continue
            payloads.append((name, payload))
            max_bytes -= size
        return tuple(payloads)
