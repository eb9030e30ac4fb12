"""No request reaches a server that drains or has left after its grace, while calls to discovery fail."""

import asyncio

import pytest
from support.drain_case import (
    drain_as_discovery_moves,
    drain_beside_fault,
    drain_while_discovery_is_slow,
    start_with_outdated_list,
)
from support.drain_node import NodeProcess, NodeSettings

PUSHED = NodeSettings(is_pushed=True)
PUSHED_SHORT_GRACE = NodeSettings(is_pushed=True, grace_s=0.5)
POLLED = NodeSettings(is_pushed=False)
pytestmark = pytest.mark.xdist_group("drains")  # their clients keep a core busy


def reset_then_hang(process: NodeProcess) -> None:
    """The watch is reset, and the next call gets no answer."""
    process.discovery.call_faults.append("hang")
    process.discovery.reset_connections()


def silent_then_hang(process: NodeProcess) -> None:
    """The watch falls silent, and the call after it gets no answer either."""
    process.discovery.call_faults.append("hang")
    process.discovery.silence_connections()


def reset(process: NodeProcess) -> None:
    """The watch is reset."""
    process.discovery.reset_connections()


def reset_then_busy(process: NodeProcess) -> None:
    """The watch is reset, and the next call is refused with 503."""
    process.discovery.call_faults.append("busy")
    process.discovery.reset_connections()


@pytest.mark.parametrize("fault", ["hang", "busy", "reset"])
@pytest.mark.parametrize("settings", [PUSHED, PUSHED_SHORT_GRACE], ids=["grace-2s", "grace-0.5s"])
def test_new_process_when_its_first_call_to_discovery_fails_does_not_use_servers_that_have_left(
    tmp_path, monkeypatch, settings, fault
):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert asyncio.run(start_with_outdated_list(tmp_path, settings, (fault,))) == []


@pytest.mark.parametrize("first_faults", [(), ("reset",), ("busy",)])
def test_new_process_when_discovery_is_slow_does_not_use_servers_that_have_left(
    tmp_path, monkeypatch, first_faults
):
    """Guards against the configured list while calls to discovery may still be answered (review case 10)."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert asyncio.run(start_with_outdated_list(tmp_path, PUSHED, first_faults, delay_s=2.8)) == []


def test_pushed_drain_when_the_watch_was_reset_and_the_next_call_hangs_is_kept(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert asyncio.run(drain_beside_fault(tmp_path, PUSHED, reset_then_hang)) == []


@pytest.mark.parametrize("fault", [reset, reset_then_busy])
def test_pushed_drain_when_its_grace_is_short_and_calls_fail_is_kept(tmp_path, monkeypatch, fault):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert asyncio.run(drain_beside_fault(tmp_path, PUSHED_SHORT_GRACE, fault)) == []


@pytest.mark.parametrize("settings", [PUSHED, POLLED], ids=["pushed", "polled"])
def test_drain_when_the_watch_is_silent_and_the_next_call_hangs_is_kept(tmp_path, monkeypatch, settings):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert asyncio.run(drain_beside_fault(tmp_path, settings, silent_then_hang)) == []


def test_drain_when_discovery_is_slow_is_kept(tmp_path, monkeypatch):
    """Guards against overdue responses that are dropped: the node never learned of the drain."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert asyncio.run(drain_while_discovery_is_slow(tmp_path, POLLED, delay_s=4.5)) == []


def test_drain_when_it_is_written_as_discovery_moves_and_the_new_one_hangs_is_kept(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert asyncio.run(drain_as_discovery_moves(tmp_path, POLLED)) == []
