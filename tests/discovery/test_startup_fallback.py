"""A starting node whose pushed lists come late: the configured list is used only if discovery is away.

What discovery has counts as notified from the first moment of a process, so an outdated list would send
requests to servers whose drain ended long ago. The tests run whole nodes in virtual time.
"""

import asyncio
from collections import deque
from dataclasses import replace

import pytest
from support.slow_discovery import BUSY, NEVER_S, Failure, SlowDiscovery, SlowlyNotifiedNode, node_beside

from flintridge.api import DiscoveryMode, EndpointState
from flintridge.config.address import Address
from flintridge.discovery.call import LIST_TIMEOUT_MS
from flintridge.discovery.startup_fallback import FALLBACK_AFTER_MS, MAX_FALLBACK_WAIT_MS
from flintridge.lab import virtual

READY_LIMIT_S = 10.0  # nine of ten restarted nodes have to be ready within this time

each_failure = pytest.mark.parametrize("response", [None, BUSY], ids=["reset", "busy"])


def failing(failure: Failure, failures: int, delay_s: float = NEVER_S) -> SlowDiscovery:
    """A discovery that fails its first calls, and then takes `delay_s` for each."""
    discovery = SlowDiscovery(delay_s)
    discovery.next_failures = deque([failure] * failures)
    return discovery


async def wait_for_first_list(starting: SlowlyNotifiedNode) -> tuple[EndpointState, float]:
    """Start a node; returns the state of the draining server in the first list used, and when it was used."""
    loop = asyncio.get_running_loop()
    await starting.node.start()
    started_at = loop.time()
    while starting.state() is None:
        assert not starting.node.downstream.serving
        assert loop.time() < started_at + READY_LIMIT_S, "the node did not get ready"
        await asyncio.sleep(0.005)
    assert starting.node.downstream.serving
    return starting.state(), loop.time() - started_at


def first_list(discovery: SlowDiscovery) -> tuple[EndpointState, float]:
    """Start a node with an outdated list beside a discovery; see `wait_for_first_list`."""

    async def start() -> tuple[EndpointState, float]:
        discovery.change(7, s1="terminating", s2="in_service")
        async with node_beside(discovery, DiscoveryMode.PUSHED) as starting:
            return await wait_for_first_list(starting)

    return virtual.run(start())


@pytest.mark.parametrize("late_s", [0.4, 1.4, 1.6, 2.5, 2.9])
def test_start_when_each_answer_is_late_then_waits_for_it(late_s):
    """Guards against the outdated list: a call without a response for 1.5 s was taken for an outage."""
    state, ready_s = first_list(SlowDiscovery(late_s))
    assert state is EndpointState.DRAINING
    assert late_s <= ready_s < late_s + 0.05


@pytest.mark.parametrize("late_s", [3.5, 4.4])
def test_start_when_answers_are_later_than_the_time_for_one_then_waits_while_a_backup_is_due(late_s):
    """Guards against an answer that is not accepted because it is overdue."""
    state, ready_s = first_list(SlowDiscovery(late_s))
    assert state is EndpointState.DRAINING
    assert late_s <= ready_s < late_s + 0.05


@pytest.mark.parametrize("pauses_s", [(0.8,), (2.5,), (0.7, 0.7, 0.7), (1.0,) * 5])
def test_start_when_answers_come_in_pieces_then_waits_for_the_rest(pauses_s):
    """Guards against a list that is dropped for a pause within it, again at each call."""
    state, ready_s = first_list(SlowDiscovery(pauses_s=pauses_s))
    assert state is EndpointState.DRAINING
    assert ready_s < sum(pauses_s) + 0.05


def test_start_when_answers_begin_and_never_end_then_is_ready_in_time():
    """Responses that stop in the middle must not keep a node from serving."""
    state, ready_s = first_list(SlowDiscovery(pauses_s=(NEVER_S,)))
    assert state is EndpointState.READY
    assert ready_s * 1_000 <= MAX_FALLBACK_WAIT_MS + 50


@pytest.mark.parametrize("failures", [1, 2, 3])
@each_failure
def test_start_when_calls_fail_and_the_next_answer_is_late_then_waits_for_it(response, failures):
    """Guards against the outdated list while the call after a failed one has no response yet."""
    state, ready_s = first_list(failing(Failure(response), failures, delay_s=2.5))
    assert state is EndpointState.DRAINING
    assert ready_s < READY_LIMIT_S / 2


@pytest.mark.parametrize("held_s", [0.6, 1.6, 2.9])
@each_failure
def test_start_when_calls_fail_after_they_were_held_then_waits_for_a_later_answer(response, held_s):
    """Guards against the outdated list after one failure of a discovery that has too many callers."""
    state, ready_s = first_list(failing(Failure(response, held_s), 3, delay_s=0.5))
    assert state is EndpointState.DRAINING
    assert ready_s * 1_000 < MAX_FALLBACK_WAIT_MS


@each_failure
def test_start_when_all_calls_fail_after_they_were_held_then_is_ready_in_time(response):
    """A discovery that answers no call in time must not keep a node from serving."""
    state, ready_s = first_list(failing(Failure(response, held_s=2.9), 1_000))
    assert state is EndpointState.READY
    assert ready_s * 1_000 <= MAX_FALLBACK_WAIT_MS + 50


def test_start_when_discovery_is_silent_then_uses_the_configured_list_once_its_calls_have_timed_out():
    """A discovery that answers nothing must not keep a node from serving."""
    state, ready_s = first_list(SlowDiscovery(NEVER_S))
    assert state is EndpointState.READY
    assert LIST_TIMEOUT_MS <= ready_s * 1_000 <= LIST_TIMEOUT_MS + FALLBACK_AFTER_MS + 50


@each_failure
def test_start_when_discovery_fails_all_calls_at_once_then_is_ready_as_soon_as_before(response):
    """Waiting for late answers must not delay a start while discovery is away."""
    state, ready_s = first_list(failing(Failure(response), 1_000))
    assert state is EndpointState.READY
    assert FALLBACK_AFTER_MS <= ready_s * 1_000 <= FALLBACK_AFTER_MS + 50


@pytest.mark.parametrize("failures", [0, 1_000], ids=["silent", "down"])
def test_reload_when_the_node_starts_and_the_new_discovery_is_late_then_waits_for_it(failures):
    """Guards against the outdated list while the call to the new address has no response yet."""

    async def test() -> None:
        new = SlowDiscovery(2.5)
        new.change(7, s1="terminating", s2="in_service")
        await new.open()
        async with node_beside(failing(Failure(None), failures), DiscoveryMode.PUSHED) as starting:
            moved = replace(starting.config, discovery=Address("127.0.0.1", new.port))
            asyncio.get_running_loop().call_later(0.7, starting.node.reload, moved)
            state, ready_s = await wait_for_first_list(starting)
            assert state is EndpointState.DRAINING
            assert 3.2 <= ready_s < 3.25
        new.close()

    virtual.run(test())
