"""A node that stalls for 0.15 s right after any one read of the clock, before it writes an attempt."""

import asyncio
import re

import pytest
from support.network import ManualClock, ScriptedServer, until
from support.upstream import VALUE, FaultySocket, UpstreamHarness, on_connect

from flintridge.api import Outcome
from flintridge.core.response import AttemptResult
from flintridge.policy.retry import STALL_ALLOWANCE_MS

STALL_MS = STALL_ALLOWANCE_MS
WITHDRAWN = AttemptResult(Outcome.WITHDRAWN)


class StallingClock(ManualClock):
    """A manual clock that stalls right after one of its reads.

    Attributes:
        reads: Number of reads since it was armed.
        on_stall: Called when the stall begins.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0
        self.stall_after: int | None = None
        self.on_stall = lambda: None

    def arm(self, read: int) -> None:
        self.reads = 0
        self.stall_after = read

    def now(self) -> float:
        seen = self.at
        if self.reads == self.stall_after:
            self.at += STALL_MS
            self.on_stall()
        self.reads += 1
        return seen


class Run:
    """One attempt, with a stall after a given read of the clock, counted from its start or its connect.

    Attributes:
        stalled: Whether the stall occurred before the attempt was written or withdrawn.
        sent_at: When its first byte was written; None if it was not.
        sent_timeout_ms: The timeout that the server was sent.
    """

    def __init__(self, read: int, reused: bool) -> None:
        self.read = read
        self.reused = reused
        self.stalled = False
        self.sent_at: float | None = None
        self.sent_timeout_ms: int | None = None

    async def play(self, client_closes: bool = False, **limits) -> None:
        async with ScriptedServer(lambda _: VALUE) as server:
            self.clock = StallingClock()
            harness = UpstreamHarness(server.port, clock=self.clock)
            if self.reused:
                assert await harness.outcome() is Outcome.OK
                (connection,) = harness.connections
                sock = FaultySocket(connection.writer.transport)
                self.attempt = harness.make_attempt(**limits)
                self._arm(sock)
            else:
                self.attempt = harness.make_attempt(**limits)
                on_connect(harness, self._arm)
            left: list[float] = []
            if client_closes:
                self.clock.on_stall = lambda: left.append(self.clock.at)
                self.attempt.check_client = lambda: setattr(self.attempt, "request_ended", bool(left))
            count = len(harness.results)
            harness.dispatcher.start(self.attempt)
            await until(lambda: len(harness.results) > count)
            self.result = harness.results[-1]
            await harness.dispatcher.close()

    def _arm(self, sock: FaultySocket) -> None:
        sock.on_send = self._record_send
        self.clock.arm(self.read)

    def _record_send(self, data: bytes) -> None:
        self.stalled = self.clock.reads > self.read
        self.sent_at = self.clock.at
        found = re.search(rb"d=(\d+)", data)
        assert found is not None
        self.sent_timeout_ms = int(found[1])


async def each_read(reused: bool, **limits) -> list[Run]:
    """One run with a stall after each read of the clock up to the write, and one run without a stall."""
    runs: list[Run] = []
    while not runs or runs[-1].sent_at is None or runs[-1].stalled:
        runs.append(Run(len(runs), reused))
        await runs[-1].play(**limits)
        assert len(runs) < 30
    return runs


def check_each_read(check, reused: bool, **limits) -> None:
    async def test():
        runs = await each_read(reused, **limits)
        assert len(runs) > 3
        for run in runs:
            check(run)

    asyncio.run(asyncio.wait_for(test(), 60))


connections = pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])


@connections
@pytest.mark.parametrize("limit", ["begin_by", "written_by"])
def test_attempt_when_the_node_stalls_at_its_limit_begins_within_the_allowance(reused, limit):
    """The limits that the policy sets are shorter than the grace period or window by this allowance."""

    def check(run):
        if run.sent_at is None:
            assert run.result == WITHDRAWN
        else:
            assert run.sent_at <= getattr(run.attempt, limit) + STALL_ALLOWANCE_MS

    check_each_read(check, reused, **{limit: 0})


@connections
@pytest.mark.parametrize("left_ms", [1, 5, 149, 150, 151, 400])
def test_attempt_when_the_node_stalls_sends_at_most_the_remaining_time_plus_the_allowance(reused, left_ms):
    def check(run):
        if run.sent_at is None:
            assert run.result == WITHDRAWN
            assert left_ms <= STALL_MS  # with more time it must be written
        else:
            assert 1 <= run.sent_timeout_ms <= run.attempt.deadline - run.sent_at + STALL_MS

    check_each_read(check, reused, wait=left_ms)


@connections
def test_attempt_when_its_deadline_passes_before_the_write_is_not_written(reused):
    """Only a stall after the last read of the clock can go unnoticed."""

    def check(run):
        if run.sent_at is not None and run.stalled:
            last.append(run.read)

    last: list[int] = []
    check_each_read(check, reused, wait=100)
    assert len(last) == 1


@connections
def test_attempt_when_its_client_closes_in_a_stall_is_not_written(reused):
    """The client is checked after all reads of the clock."""

    def check(run):
        if run.sent_at is None:
            assert run.result == WITHDRAWN
        else:
            assert not run.stalled

    check_each_read(check, reused, client_closes=True, wait=1000)


@connections
@pytest.mark.parametrize("left_ms", [5.0, 0.4])
def test_attempt_when_very_little_time_is_left_sends_at_least_a_millisecond(reused, left_ms):
    async def test():
        run = Run(1000, reused)
        await run.play(wait=left_ms)
        assert run.sent_timeout_ms == max(1, int(left_ms))
        assert run.result.outcome is Outcome.OK

    asyncio.run(asyncio.wait_for(test(), 60))
