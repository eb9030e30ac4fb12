"""Messages between the worker pool and its worker processes: jobs, replies and their framing on a pipe."""

from collections.abc import Callable
from typing import Any

import msgspec

from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

PLAY = "flintridge.lab.run:play"
Runner = Callable[..., Result]
FRAME_LENGTH_BYTES = 8  # big-endian


class Job(msgspec.Struct, kw_only=True, frozen=True):
    """A run that a worker process plays.

    Attributes:
        scenario: The scenario to play.
        seed: The seed of the run.
        label: The label of the job in messages and failures.
        backend: `virtual` or `loopback`.
        defect: The seeded defect to play with, if any.
        events: The path of the file for the run's records, if any.
        trace: The path of the file for the trace, if any.
        tree: The source tree that the node is loaded from; the current tree if empty.
        limit_s: The limit in seconds of real time. If absent, the scenario's own limit plus a margin.
        runner: `module:name` of the function that plays the scenario.
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
    """The outcome of a run that produced no result.

    Attributes:
        label: The job's label.
        seed: The job's seed.
        mode: `raised`, `died` (the worker process ended) or `hung` (it was killed at the job's limit).
        reason: The reason in one line.
        trace: The traceback, if there is one.
    """

    label: str
    seed: int
    mode: str
    reason: str
    trace: str = ""


class Reply(msgspec.Struct, kw_only=True):
    """The reply of a worker process to a job.

    Attributes:
        result: The result; absent if the run raised an exception.
        error: The last line of the traceback.
        trace: The complete traceback.
    """

    result: Result | None = None
    error: str = ""
    trace: str = ""


Outcome = Result | JobFailed


def runner_name(runner: str | Runner) -> str:
    """Return the `module:name` by which a worker can import a function.

    Raises:
        ValueError: The function is not at the top level of an importable module.
    """
    if isinstance(runner, str):
        return runner
    module = runner.__module__
    name = getattr(runner, "__qualname__", "<unnamed>")
    if module == "__main__" or "<" in name:
        raise ValueError(f"{module}:{name}: a worker can import only functions at the top level of a module")
    return f"{module}:{name}"


def frame(message: Any) -> bytes:
    """Encode a message as JSON, preceded by its length in bytes."""
    body = msgspec.json.encode(message)
    return len(body).to_bytes(FRAME_LENGTH_BYTES, "big") + body


def failure(outcome: Outcome) -> str:
    """Return why the metrics of an outcome must not be used, or an empty string if the run completed."""
    if isinstance(outcome, JobFailed):
        return f"{outcome.mode}: {outcome.reason}"
    return "" if outcome.end_reason == "whole" else f"cut short: {outcome.end_reason}"
