"""What goes to a worker process and what comes back: jobs, outcomes, and their frames on a pipe."""

from collections.abc import Callable
from typing import Any

import msgspec

from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

PLAY = "flintridge.lab.run:play"
Runner = Callable[..., Result]
FRAME_LENGTH_BYTES = 8  # big-endian


class Job(msgspec.Struct, kw_only=True, frozen=True):
    """One run for a worker.

    Attributes:
        scenario: The scenario to play.
        seed: Its seed.
        label: For messages and failures.
        backend: `virtual` or `loopback`.
        defect: The seeded defect to play with, if any.
        events: A file for the records, if any.
        trace: A file for the trace, if any.
        tree: Another source tree to take the node from; this one where empty.
        limit_s: Real time in seconds; the scenario's own limit and some seconds where absent.
        runner: `module:name` of the function that plays it.
    """

    scenario: Scenario
    seed: int
    label: str = ""
    backend: str = "virtual"
    defect: str | None = None
    events: str | None = None
    trace: str | None = None
    tree: str = ""
    limit_s: float | None = None
    runner: str = PLAY


class JobFailed(msgspec.Struct, kw_only=True, frozen=True):
    """A run without a result.

    Attributes:
        label: The job's label.
        seed: The job's seed.
        mode: `raised`, `died` (the worker's process ended) or `hung` (killed at its limit).
        reason: One line.
        trace: The traceback, where there is one.
    """

    label: str
    seed: int
    mode: str
    reason: str
    trace: str = ""


class Reply(msgspec.Struct, kw_only=True):
    """What a worker writes.

    Attributes:
        result: The result, absent where the run raised.
        error: The last line of the traceback.
        trace: The whole traceback.
    """

    result: Result | None = None
    error: str = ""
    trace: str = ""


Outcome = Result | JobFailed


def runner_name(runner: str | Runner) -> str:
    """Return `module:name` of a function, for a worker to import.

    Raises:
        ValueError: The function is not at the top level of a module that can be imported.
    """
    if isinstance(runner, str):
        return runner
    module = runner.__module__
    name = getattr(runner, "__qualname__", "<unnamed>")
    if module == "__main__" or "<" in name:
        raise ValueError(f"{module}:{name}: a worker can import functions at a module's top level only")
    return f"{module}:{name}"


def frame(message: Any) -> bytes:
    """Encode a message behind its length."""
    body = msgspec.json.encode(message)
    return len(body).to_bytes(FRAME_LENGTH_BYTES, "big") + body


def failure(outcome: Outcome) -> str:
    """Return why this outcome's metrics must not be used; empty when they may be."""
    if isinstance(outcome, JobFailed):
        return f"{outcome.mode}: {outcome.reason}"
    return "" if outcome.end_reason == "whole" else f"cut short: {outcome.end_reason}"
