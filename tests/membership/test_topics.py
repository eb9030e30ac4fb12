"""Payloads of topics in datagrams."""

import pytest

from flintridge.lab.partial.virtual_fleet import MembershipFleet
from flintridge.lab.partial.virtual_network import Link


class FixedPayload:
    """A topic that sends the same payload to all members."""

    def __init__(self, bytes_per_s=500.0, size=20):
        self.name = "facts"
        self.bytes_per_s = bytes_per_s
        self.size = size
        self.received = []
        self.sent = 0

    def payload_for(self, now, to, max_bytes):
        self.sent += self.size <= max_bytes
        return bytes(self.size) if self.size <= max_bytes else None

    def receive_payload(self, now, name, incarnation, as_of, data):
        self.received.append((name, as_of, data))


def test_payloads_when_datagrams_are_duplicated_then_arrive_once_each_and_within_their_budget():
    fleet = MembershipFleet(3, 6, link=Link(duplication=0.5))
    topics = {name: FixedPayload(size=100) for name in fleet.names}
    for name, topic in topics.items():
        fleet.detector(name).register_topic(topic)
    fleet.run(20_000)
    sent = sum(topic.sent for topic in topics.values())
    received = sum(len(topic.received) for topic in topics.values())
    assert (
        sent * 0.9 <= received <= sent
    )  # duplicates count once; payloads without a proven send time at the start are dropped
    assert all(topic.sent * 100 <= 500 * 21 for topic in topics.values())
    with pytest.raises(ValueError, match="facts is registered"):
        fleet.detector("n0").register_topic(FixedPayload())
