"""Runs a scenario with a seed on a backend, and judges the run."""

import gc
import resource
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.defects import DEFECTS
from flintridge.lab.judge.verdict import judge
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.load.trace import write as write_trace
from flintridge.lab.partial.allocation_oracle import AllocationMode
from flintridge.lab.record_log import RecordLog
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import FolderErrors, NodeDrain, Scenario
from flintridge.lab.scenario_run import run_scenario
from flintridge.lab.virtual_run import VirtualRun

BACKENDS = ("virtual", "loopback")


def play(
    scenario: Scenario,
    seed: int,
    *,
    backend: str = "virtual",
    defect: str | None = None,
    events: Path | None = None,
    trace: Path | None = None,
    allocation: AllocationMode | None = None,
) -> Result:
    """Run a scenario and judge it.

    Args:
        scenario: The scenario to run.
        seed: The seed of all randomness in the run.
        backend: One of `BACKENDS`.
        defect: One of `flintridge.lab.defects.DEFECTS`, injected into every node (virtual only).
        events: The file to which the records are written, one JSON line each.
        trace: The file to which the requests are written, for replay by another scenario (`load.trace`).
        allocation: The limits that an oracle allocates by demand (virtual only).

    Raises:
        ValueError: The backend, the defect or the combination does not exist.
        OSError: A file cannot be written.
    """
    _check(scenario, backend, defect, allocation)
    started_at = time.perf_counter()
    cpu_before = time.process_time()
    log = RecordLog()
    requests: list[GeneratedRequest] = []
    run = run_scenario if trace is None else partial(run_scenario, on_request=requests.append)
    if backend == "virtual":
        end_reason, usage = VirtualRun(scenario, seed, log, defect, allocation).play(run)
    else:
        end_reason, usage = _play_loopback(scenario, seed, log, run)
    if events is not None:
        log.write(events)
    if trace is not None:
        write_trace(trace, requests)
    with _no_garbage_collection():
        result = judge(log, scenario, seed, backend)
    result.end_reason = end_reason
    result.digest = log.digest()
    result.records = len(log)
    result.wall_s = time.perf_counter() - started_at
    result.lab_cpu_s = time.process_time() - cpu_before
    if backend == "virtual":
        result.lab_cpu_s -= usage.node_cpu_s
    _fill_usage(result, usage)
    result.expectation = _unmet_expectations(scenario, result)
    return result


def _check(scenario: Scenario, backend: str, defect: str | None, allocation: AllocationMode | None) -> None:
    is_virtual = backend == "virtual"
    if backend not in BACKENDS:
        raise ValueError(f"backend: {backend!r}: must be one of {', '.join(BACKENDS)}")
    if defect is not None and (not is_virtual or defect not in DEFECTS):
        raise ValueError(
            f"defect: {defect!r}: must be one of {', '.join(sorted(DEFECTS))}, on 'virtual' only"
        )
    if not is_virtual and allocation is not None:
        raise ValueError(f"allocation: on the virtual backend only, not on {backend!r}")
    if not is_virtual and any(isinstance(fault, NodeDrain) for fault in scenario.faults):
        raise ValueError(f"faults: node_drain: on the virtual backend only, not on {backend!r}")
    if backend != "loopback" and any(isinstance(fault, FolderErrors) for fault in scenario.faults):
        raise ValueError(f"faults: folder_errors: on the loopback backend only, not on {backend!r}")


def _play_loopback(
    scenario: Scenario, seed: int, log: RecordLog, run: Callable[..., Any]
) -> tuple[str, RunUsage]:
    from flintridge.lab.backend.loopback import play_loopback  # imported late: few runs use this backend

    return play_loopback(scenario, seed, log, run)


def _fill_usage(result: Result, usage: RunUsage) -> None:
    result.node_cpu_s = usage.node_cpu_s
    result.node_memory_mb = usage.node_memory_mb
    result.peak_memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    result.counters = usage.counters
    result.histograms = usage.histograms
    result.lab_problems = usage.lab_problems
    result.lateness_ms = usage.lateness_ms


@contextmanager
def _no_garbage_collection() -> Iterator[None]:
    """Suspend garbage collection while a run is judged.

    Judging a long run creates hundreds of thousands of objects but no garbage, and each collection would
    traverse all of them.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _unmet_expectations(scenario: Scenario, result: Result) -> str:
    expect = scenario.expect
    unmet = []
    if expect.goodput_at_least is not None and result.goodput < expect.goodput_at_least:
        unmet.append(f"goodput {result.goodput:.4f} is below {expect.goodput_at_least}")
    unmet += [f"rule {rule} was not broken" for rule in expect.breaks if not result.rules.get(rule)]
    return "; ".join(unmet)
