"""What goes to a worker process and what comes back: jobs, outcomes, and their frames on a pipe."""

from collections.abc import Callable
from typing import Any

import msgspec

from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

PLAY = "flintridge.lab.run:play"
Runner = Callable[..., Result]
HEAD = 8  # bytes of a frame's length, big-endian


class Job(msgspec.Struct, kw_only=True, frozen=True):
    """One run. `tree` names another source tree to take the node from; `limit_s` of real time is by default
    the scenario's own limit and some seconds."""

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
    """A run without a result."""

    label: str
    seed: int
    how: str  # raised, died (the worker's process ended), hung (killed at its limit)
    why: str  # one line
    trace: str = ""


class Reply(msgspec.Struct, kw_only=True):
    """What a worker writes: a result, or the last line and the whole of a traceback."""

    result: Result | None = None
    error: str = ""
    trace: str = ""


Outcome = Result | JobFailed


def runner_name(runner: str | Runner) -> str:
    """`module:name` of a function at a module's top level, for a worker to import. Raises ValueError."""
    if isinstance(runner, str):
        return runner
    module, name = runner.__module__, getattr(runner, "__qualname__", "<unnamed>")
    if module == "__main__" or "<" in name:
        raise ValueError(f"{module}:{name}: a worker can import functions at a module's top level only")
    return f"{module}:{name}"


def frame(message: Any) -> bytes:
    """A message behind its length."""
    body = msgspec.json.encode(message)
    return len(body).to_bytes(HEAD, "big") + body


def failure(outcome: Outcome) -> str:
    """Why this outcome's figures must not be used; empty when they may be."""
    if isinstance(outcome, JobFailed):
        return f"{outcome.how}: {outcome.why}"
    return "" if outcome.end_reason == "whole" else f"cut short: {outcome.end_reason}"
