"""A queue of the steps of a run's faults, ordered by time."""

import asyncio
import contextlib
import heapq
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import IntEnum

from flintridge.lab.fabric import RunClock

Step = Callable[[], Awaitable[None]]


class StepPhase(IntEnum):
    """The phase of a step: at the same time, steps that end something run before those that start it."""

    END = 0
    START = 1


@dataclass(slots=True, frozen=True, order=True)
class _ScheduledStep:
    at_ms: float
    phase: StepPhase
    order: int
    step: Step = field(compare=False)


class StepQueue:
    """A priority queue of steps; triggers that are still awaited may add further steps."""

    def __init__(self, clock: RunClock) -> None:
        """Create an empty queue.

        Args:
            clock: The run's clock.
        """
        self._clock = clock
        self._scheduled: list[_ScheduledStep] = []
        self._added = 0
        self._awaited_triggers = 0
        self._trigger_resolved = asyncio.Event()

    def add(self, at_ms: float, phase: StepPhase, step: Step) -> None:
        """Schedule a step; steps of the same time and phase run in the order in which they were added.

        Args:
            at_ms: The time of the run, in milliseconds.
            phase: Whether the step starts or ends something.
            step: Called at that time.
        """
        self._added += 1
        heapq.heappush(self._scheduled, _ScheduledStep(at_ms, phase, self._added, step))

    def clear(self) -> None:
        """Remove all scheduled steps."""
        self._scheduled.clear()

    def expect_trigger(self) -> None:
        """Keep `next_step` from ending until `trigger_resolved` is called once more."""
        self._awaited_triggers += 1

    def trigger_resolved(self) -> None:
        """Note that a trigger was observed and its step added, or that its wait timed out."""
        self._awaited_triggers -= 1
        self._trigger_resolved.set()

    async def next_step(self) -> Step | None:
        """Wait until the next step is due.

        Returns:
            The step, or None if no step is scheduled and no trigger is awaited.
        """
        while self._scheduled or self._awaited_triggers:
            if not self._scheduled:
                await self._trigger_resolved.wait()
                self._trigger_resolved.clear()
                continue
            at_ms = self._scheduled[0].at_ms
            if self._awaited_triggers and at_ms > self._clock.now():
                # A step added by a trigger may be due before the first scheduled step.
                with contextlib.suppress(TimeoutError):
                    timeout_s = (at_ms - self._clock.now()) / 1000
                    await asyncio.wait_for(self._trigger_resolved.wait(), timeout_s)
                    self._trigger_resolved.clear()
                    continue
            scheduled = heapq.heappop(self._scheduled)
            await self._clock.sleep_until(scheduled.at_ms)
            return scheduled.step
        return None
