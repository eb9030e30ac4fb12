"""Tests of the worker pool: failed jobs, the order of outcomes, and the end of all its processes."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from support.lab_fake_runs import job, process_ends
from support.signals import restore_default_signals

from flintridge.lab.experiment.jobs import JobFailed
from flintridge.lab.experiment.pool import run_jobs
from flintridge.lab.result import Result

ROOT = Path(__file__).parents[3]


def test_a_failed_job_is_reported_and_the_other_jobs_complete_in_order(tmp_path):
    pids = tmp_path / "pids"
    jobs = [job(seed=1), job("raise", 2), job("die", 3), job(f"hang {pids}", 4, limit_s=3), job(seed=5)]
    ended = []
    found = run_jobs(jobs, workers=2, on_done=lambda i, job, outcome: ended.append(i))
    assert [type(outcome) for outcome in found] == [Result, JobFailed, JobFailed, JobFailed, Result]
    assert [f.seed for f in found] == [1, 2, 3, 4, 5] and sorted(ended) == [0, 1, 2, 3, 4]
    raised, died, hung = found[1:4]
    assert (raised.mode, raised.reason) == ("raised", "ValueError: seed 2") and "Traceback" in raised.trace
    assert died.mode == "died" and "7" in died.reason and "last words" in died.reason
    assert hung.mode == "hung" and "3 s" in hung.reason
    # The file holds the pids of the worker and of its child, which has its own session.
    assert all(process_ends(int(pid)) for pid in pids.read_text().split())


def test_stop_prevents_further_jobs_and_loopback_jobs_run_one_at_a_time(tmp_path):
    done = []
    found = run_jobs(
        [job(seed=n) for n in range(6)],
        workers=1,
        on_done=lambda i, *_: done.append(i),
        stop=lambda: len(done) >= 2,
    )
    assert [outcome is None for outcome in found] == [False, False, True, True, True, True]
    exclusive_jobs = [job(f"exclusive {tmp_path / 'one'}", n, backend="loopback") for n in range(3)]
    assert all(isinstance(outcome, Result) for outcome in run_jobs(exclusive_jobs, workers=3))


@pytest.mark.parametrize("end", [signal.SIGINT, signal.SIGKILL])
def test_no_process_outlives_an_interrupted_pool(tmp_path, end):
    pids = tmp_path / "pids"
    code = (
        "from support.lab_fake_runs import job\nfrom flintridge.lab.experiment.pool import run_jobs\n"
        f"run_jobs([job('hang {pids}')])"
    )
    environment = {**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'tests'}"}
    pool = subprocess.Popen(
        [sys.executable, "-c", code],
        env=environment,
        stderr=subprocess.DEVNULL,
        preexec_fn=restore_default_signals,
    )
    try:
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline and not (pids.exists() and len(pids.read_text().split()) == 2):
            time.sleep(0.02)
        pool.send_signal(end)
        pool.wait(20)
    finally:
        pool.kill()
        pool.wait(20)
    started = [int(pid) for pid in pids.read_text().split()]
    assert len(started) == 2
    assert all(process_ends(pid) for pid in started)
