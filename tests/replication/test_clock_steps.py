"""The replica's driver while the wall clock is stepped: what operators set lasts for its real time."""

from types import SimpleNamespace

import orjson
import pytest
from support.network import ManualClock, log_and_counters

from flintridge.config.address import Address
from flintridge.config.node_config import PeersConfig, StateConfig
from flintridge.membership.driver import MembershipDriver
from flintridge.replication.driver import ReplicationDriver

HOUR_MS = 3_600_000.0
STEPS_MS = (-HOUR_MS, -5_000.0, 5_000.0, HOUR_MS)


class SteppedNode:
    """A replica's driver, without a network, whose wall clock is `ahead_ms` ahead."""

    def __init__(self, monkeypatch) -> None:
        self.clock = ManualClock()
        self.ahead_ms = 0.0
        self.taken_out: frozenset[str] = frozenset()
        now_s = SimpleNamespace(time=lambda: 1_700_000_000 + (self.clock.now() + self.ahead_ms) / 1000)
        monkeypatch.setattr("flintridge.replication.driver.time", now_s)
        log, counters = log_and_counters()
        peers = PeersConfig(Address("127.0.0.1", 0), (("a", Address("127.0.0.1", 1)),), "fleet")
        membership = MembershipDriver("a", peers, self.clock, log, counters, bytes)
        self.driver = ReplicationDriver(
            StateConfig(), membership, self.clock, log, counters, bytes, self.take_out
        )
        self.driver.start()

    def take_out(self, servers: frozenset[str]) -> None:
        self.taken_out = servers

    def step(self, ms: float) -> None:
        self.ahead_ms += ms

    def write(self, name: str, **fields: object) -> None:
        call = {"type": "hold", "name": name, "by": "ann", "why": "disk", "body": {"held": True}} | fields
        response = self.driver.routes()[b"/admin/state"][b"POST"].call(b"", orjson.dumps(call))
        assert response.status == 200, response.fields


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_hold_when_the_wall_clock_is_stepped_lasts_for_its_span_of_real_time(monkeypatch, step_ms):
    node = SteppedNode(monkeypatch)
    node.write("s1", lasts_ms=20_000)
    node.write("s2")
    node.clock.advance(1_000.0)
    node.step(step_ms)
    node.clock.advance(18_900.0)
    assert node.taken_out == {"s1", "s2"}
    node.clock.advance(200.0)
    assert node.taken_out == {"s2"}


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_release_when_the_wall_clock_was_stepped_after_the_hold_ends_it(monkeypatch, step_ms):
    node = SteppedNode(monkeypatch)
    node.write("s1")
    node.clock.advance(1_000.0)
    assert node.taken_out == {"s1"}
    node.step(step_ms)
    node.clock.advance(1_000.0)
    node.write("s1", delete=True)
    node.clock.advance(100.0)
    assert node.taken_out == frozenset()


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_tombstone_when_the_wall_clock_is_stepped_is_remembered_for_its_span(monkeypatch, step_ms):
    node = SteppedNode(monkeypatch)
    node.write("s1")
    node.write("s1", delete=True)
    node.step(step_ms)
    node.clock.advance(HOUR_MS - 5_000.0)
    assert node.driver.replica.entries
    node.clock.advance(10_000.0)
    assert not node.driver.replica.entries
