"""Runs without a node, for tests of experiments: a runner that does what the scenario's description says."""

import os
import subprocess
import time
from pathlib import Path

from flintridge.lab.experiment.jobs import Job
from flintridge.lab.result import Latency, Result
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

FAKE_RUNNER = __name__ + ":fake"


def fake(scenario, seed, *, backend="virtual", defect=None, events=None):
    """Does what the scenario's `about` says, with figures from its values and the seed alone."""
    print("a run may print what it likes")
    what, _, rest = scenario.about.partition(" ")
    if what == "raise":
        raise ValueError(f"seed {seed}")
    if what == "die":
        os.write(2, b"last words\n")
        os._exit(7)
    if what == "hang":
        child = subprocess.Popen(["sleep", "600"], start_new_session=True)
        Path(rest).write_text(f"{os.getpid()} {child.pid}")
        time.sleep(600)
    if what == "exclusive":  # fails where two of them run at once
        with open(rest, "x"):
            time.sleep(0.05)
        os.unlink(rest)
    if what == "fickle":  # with fewer faults it fails under seed 2 alone
        breaks = int(len(scenario.faults) == 4 or seed == 2)
        return Result(scenario="", seed=seed, backend=backend, rules={"lost": breaks})
    goodput = max(0.0, 1 - scenario.load.rate_per_s / 1000 - 0.1 * len(scenario.faults) + seed / 1e4)
    crash = any(isinstance(fault, model.Crash) for fault in scenario.faults)
    return Result(
        scenario=scenario.name,
        seed=seed,
        backend=backend,
        goodput=goodput,
        requests=seed,
        rules={"drain": int(crash and scenario.nodes.count >= 2), "lost": 0},
        latency_ms=Latency(p50=10.0 * seed, p99=100.0),
    )


def job(about="", seed=1, **named):
    return Job(scenario=Scenario(about=about), seed=seed, runner=FAKE_RUNNER, **named)


def process_ends(pid, within=5.0):
    """Whether a process ends soon: it is killed at once, but reaped by others."""
    until = time.monotonic() + within
    while time.monotonic() < until:
        try:
            if Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] == "Z":
                return True
        except OSError:
            return True
        time.sleep(0.02)
    return False
