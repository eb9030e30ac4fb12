"""A node that is held up for 0.15 s behind whichever look at the clock, before it writes an attempt."""

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
    """Stands still, but for a stall behind one look at it.

    Attributes:
        looks: How often it was looked at since it was armed.
        on_stall: Called as the stall begins.
    """

    def __init__(self) -> None:
        super().__init__()
        self.looks = 0
        self.stall_behind: int | None = None
        self.on_stall = lambda: None

    def arm(self, look: int) -> None:
        self.looks = 0
        self.stall_behind = look

    def now(self) -> float:
        seen = self.at
        if self.looks == self.stall_behind:
            self.at += STALL_MS
            self.on_stall()
        self.looks += 1
        return seen


class Run:
    """One attempt on a connection, with a stall behind look `look` since it began or its connection came up.

    Attributes:
        stalled: Whether there was such a look before the attempt was written or withdrawn.
        sent_at: When its first byte was written; None: it was not.
        told_ms: Which time its server was told.
    """

    def __init__(self, look: int, reused: bool) -> None:
        self.look = look
        self.reused = reused
        self.stalled = False
        self.sent_at: float | None = None
        self.told_ms: int | None = None

    async def play(self, client_closes: bool = False, **limits) -> None:
        async with ScriptedServer(lambda _: VALUE) as peer:
            self.clock = StallingClock()
            harness = UpstreamHarness(peer.port, clock=self.clock)
            if self.reused:
                assert await harness.outcome() is Outcome.OK
                (connection,) = harness.connections
                sock = FaultySocket(connection.writer.transport)
                self.attempt = harness.make_attempt(**limits)
                self._come_up(sock)
            else:
                self.attempt = harness.make_attempt(**limits)
                on_connect(harness, self._come_up)
            left: list[float] = []
            if client_closes:
                self.clock.on_stall = lambda: left.append(self.clock.at)
                self.attempt.check_client = lambda: setattr(self.attempt, "request_ended", bool(left))
            count = len(harness.results)
            harness.dispatcher.start(self.attempt)
            await until(lambda: len(harness.results) > count)
            self.result = harness.results[-1]
            await harness.dispatcher.close()

    def _come_up(self, sock: FaultySocket) -> None:
        sock.on_send = self._note
        self.clock.arm(self.look)

    def _note(self, data: bytes) -> None:
        self.stalled = self.clock.looks > self.look
        self.sent_at = self.clock.at
        found = re.search(rb"d=(\d+)", data)
        assert found is not None
        self.told_ms = int(found[1])


async def each_look(reused: bool, **limits) -> list[Run]:
    """Runs with a stall behind each look at the clock up to the write, and one without."""
    runs: list[Run] = []
    while not runs or runs[-1].sent_at is None or runs[-1].stalled:
        runs.append(Run(len(runs), reused))
        await runs[-1].play(**limits)
        assert len(runs) < 30
    return runs


def check_each_look(check, reused: bool, **limits) -> None:
    async def test():
        runs = await each_look(reused, **limits)
        assert len(runs) > 3
        for run in runs:
            check(run)

    asyncio.run(asyncio.wait_for(test(), 60))


connections = pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])


@connections
@pytest.mark.parametrize("limit", ["begin_by", "written_by"])
def test_attempt_when_the_node_stalls_at_its_limit_begins_within_the_allowance(reused, limit):
    """What the policy gives is less by the allowance than the grace or window."""

    def check(run):
        if run.sent_at is None:
            assert run.result == WITHDRAWN
        else:
            assert run.sent_at <= getattr(run.attempt, limit) + STALL_ALLOWANCE_MS

    check_each_look(check, reused, **{limit: 0})


@connections
@pytest.mark.parametrize("left_ms", [1, 5, 149, 150, 151, 400])
def test_attempt_when_the_node_stalls_tells_at_most_what_is_left_and_the_slack(reused, left_ms):
    def check(run):
        if run.sent_at is None:
            assert run.result == WITHDRAWN
            assert left_ms <= STALL_MS  # else there was time for it
        else:
            assert 1 <= run.told_ms <= run.attempt.deadline - run.sent_at + STALL_MS

    check_each_look(check, reused, wait=left_ms)


@connections
def test_attempt_when_its_time_is_over_as_it_would_be_written_is_not_written(reused):
    """A stall behind any look but the last one: that sees it."""

    def check(run):
        if run.sent_at is not None and run.stalled:
            last.append(run.look)

    last: list[int] = []
    check_each_look(check, reused, wait=100)
    assert len(last) == 1


@connections
def test_attempt_when_its_client_closes_in_a_stall_is_not_written(reused):
    """The client is looked at behind all looks at the clock."""

    def check(run):
        if run.sent_at is None:
            assert run.result == WITHDRAWN
        else:
            assert not run.stalled

    check_each_look(check, reused, client_closes=True, wait=1000)


@connections
@pytest.mark.parametrize("left_ms", [5.0, 0.4])
def test_attempt_when_very_little_time_is_left_tells_it_at_least_a_millisecond(reused, left_ms):
    async def test():
        run = Run(1000, reused)
        await run.play(wait=left_ms)
        assert run.told_ms == max(1, int(left_ms))
        assert run.result.outcome is Outcome.OK

    asyncio.run(asyncio.wait_for(test(), 60))
