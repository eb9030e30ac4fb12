"""Topics' payloads in datagrams."""

import pytest

from flintridge.lab.partial.virtual_fleet import MembershipFleet
from flintridge.lab.partial.virtual_network import Link


class FixedPayload:
    """A topic that sends one payload to all."""

    def __init__(self, bytes_per_s=500.0, size=20):
        self.name = "facts"
        self.bytes_per_s = bytes_per_s
        self.size = size
        self.received = []
        self.sent = 0

    def payload_for(self, now, to, room):
        self.sent += self.size <= room
        return bytes(self.size) if self.size <= room else None

    def receive_payload(self, now, name, incarnation, as_of, data):
        self.received.append((name, as_of, data))


def test_payloads_when_datagrams_are_doubled_arrive_once_each_and_within_their_budget():
    machines = MembershipFleet(3, 6, link=Link(duplication=0.5))
    topics = {name: FixedPayload(size=100) for name in machines.names}
    for name, topic in topics.items():
        machines.detector(name).register_topic(topic)
    machines.run(20_000)
    sent = sum(topic.sent for topic in topics.values())
    received = sum(len(topic.received) for topic in topics.values())
    assert (
        sent * 0.9 <= received <= sent
    )  # doubled on the way, taken once; at first nothing proves their time
    assert all(topic.sent * 100 <= 500 * 21 for topic in topics.values())
    with pytest.raises(ValueError, match="facts is registered"):
        machines.detector("n0").register_topic(FixedPayload())
