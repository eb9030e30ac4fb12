"""The count of a node's processes by their file locks, also when ended processes left files behind."""

import errno
import fcntl
import os
import signal
import subprocess
import sys

import pytest
from support.network import ManualClock, log_and_counters

from flintridge.config.node_config import MAX_VALUE_MB
from flintridge.config.platform_config import node_config
from flintridge.node import Node
from flintridge.runtime import worker_processes
from flintridge.runtime.worker_processes import (
    COUNT_INTERVAL_MS,
    COUNT_VALID_MS,
    MAX_LOCK_ATTEMPTS,
    WorkerProcesses,
)

LOCKING_PROGRAM = """
import sys
sys.path.insert(0, "tests")
from support.network import ManualClock, log_and_counters
from flintridge.runtime.worker_processes import WorkerProcesses
WorkerProcesses(sys.argv[1], ManualClock(), log_and_counters()[0], print).start()
print("locked", flush=True)
sys.stdin.read()
"""


def start_another_process(folder) -> subprocess.Popen:
    process = subprocess.Popen(
        [sys.executable, "-c", LOCKING_PROGRAM, str(folder)], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    while process.stdout.readline() != b"locked\n":
        pass
    return process


class RecordingLog:
    def __init__(self) -> None:
        self.events = []

    def event(self, event, **fields):
        self.events.append((event, fields.get("count")))


class FailingCall:
    """Replaces a system call: fails `times` times, in calls whose first argument contains `part`."""

    def __init__(self, monkeypatch, module, name: str, code: int, times: int, part: str = "") -> None:
        self.real = getattr(module, name)
        self.code = code
        self.times = times
        self.part = part
        monkeypatch.setattr(module, name, self)

    def __call__(self, *args, **named):
        if self.times and self.part in str(args[0]):
            self.times -= 1
            raise OSError(self.code, os.strerror(self.code))
        return self.real(*args, **named)


def hold_lock(path) -> int:
    """Lock a file as a process of the node does; closing the returned descriptor releases the lock."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    return descriptor


def start_counting(folder, log=None):
    clock = ManualClock()
    counts = []
    processes = WorkerProcesses(str(folder), clock, log or log_and_counters()[0], counts.append)
    processes.start()
    return processes, clock, counts


@pytest.mark.parametrize("end", [signal.SIGKILL, None])
def test_count_when_another_process_starts_and_ends_then_follows_regardless_of_how_it_ended(tmp_path, end):
    processes, clock, counts = start_counting(tmp_path / "node")
    assert processes.count == 1
    assert counts == []
    other = start_another_process(tmp_path / "node")
    clock.advance(COUNT_INTERVAL_MS)
    assert counts == [2]
    if end is None:
        other.stdin.close()
    else:
        other.send_signal(end)
    other.wait()
    clock.advance(COUNT_INTERVAL_MS)
    assert counts == [2, 1]
    assert processes.index_of_other() is None
    assert len(list((tmp_path / "node").iterdir())) == 1
    processes.close()
    assert list((tmp_path / "node").iterdir()) == []


def test_count_when_dead_processes_left_files_then_ignores_and_removes_them(tmp_path):
    for name in ("7-0", f"{os.getpid()}-0", "notes.txt"):
        (tmp_path / name).write_text("left behind")
    processes, clock, counts = start_counting(tmp_path)
    clock.advance(4 * COUNT_INTERVAL_MS)
    assert processes.count == 1
    assert counts == []
    assert len(list(tmp_path.iterdir())) == 1
    processes.close()


def test_start_when_the_folder_cannot_be_used_then_counts_this_process_alone(tmp_path):
    (tmp_path / "file").write_text("")
    processes, clock, counts = start_counting(tmp_path / "file" / "node")
    clock.advance(COUNT_INTERVAL_MS)
    assert processes.count == 1
    assert counts == []
    processes.close()


def test_limits_when_two_processes_run_then_are_divided_between_them(tmp_path):
    config = node_config(
        {
            "settings": {}, "listen": "127.0.0.1:7", "discovery": "127.0.0.1:8",
            "limits": {"sockets": 384, "memory_mb": 80},
        },
        {},
    )  # fmt: skip
    clock, (log, _) = ManualClock(), log_and_counters()
    nodes = [Node(config, clock, log, shared_directory=str(tmp_path)) for _ in range(2)]
    for node in nodes:
        node._worker_processes.start()
    clock.advance(COUNT_INTERVAL_MS)
    assert [node._worker_processes.index_of_other() for node in nodes] == [1, 0]
    for limit_of, limit in (
        (lambda node: node.downstream.connections.limit, config.client_sockets),
        (lambda node: node.dispatcher.pool.max_connections, config.server_sockets),
        (lambda node: node.core.memory_budget.total, config.memory_budget_bytes),
    ):
        assert sum(map(limit_of, nodes)) <= limit
        assert limit_of(nodes[0]) >= limit // 2
    assert nodes[0].core.memory_budget.total >= MAX_VALUE_MB * 1024 * 1024
    nodes[1]._worker_processes.close()
    clock.advance(COUNT_INTERVAL_MS)
    assert nodes[0].downstream.connections.limit == config.client_sockets
    nodes[0]._worker_processes.close()


@pytest.mark.parametrize("second_started_ns", [1, 2, 3])
def test_order_when_the_wall_clock_was_stepped_between_the_starts_then_is_still_correct(
    tmp_path, second_started_ns
):
    both = [start_counting(tmp_path) for _ in range(2)]
    for (processes, clock, _), started_ns in zip(both, (2, second_started_ns), strict=True):
        os.utime(processes._lock_path, ns=(started_ns, started_ns))
        clock.advance(COUNT_INTERVAL_MS)
    assert [processes.index_of_other() for processes, _, _ in both] == [1, 0]
    both[0][0].close()
    later, later_clock, _ = start_counting(tmp_path)  # the remaining process is no longer the first
    later_clock.advance(COUNT_INTERVAL_MS)
    assert later.index_of_other() == 0
    assert both[1][0].index_of_other() == 1
    later.close()
    both[1][0].close()


def test_order_when_two_start_simultaneously_then_is_unknown(tmp_path, monkeypatch):
    first, first_clock, _ = start_counting(tmp_path)
    with monkeypatch.context() as patched:
        patched.setattr(os, "listdir", lambda _: [])  # the folder before the first process created its file
        second, second_clock, _ = start_counting(tmp_path)
    for clock in (first_clock, second_clock):
        clock.advance(COUNT_INTERVAL_MS)
    assert (first.count, second.count) == (2, 2)
    assert (first.index_of_other(), second.index_of_other()) == (None, None)
    first.close()
    second.close()


@pytest.mark.parametrize("at_start", [True, False])
def test_order_when_the_other_is_of_an_earlier_version_then_depends_on_which_file_existed_first(
    tmp_path, at_start
):
    if at_start:
        descriptor = hold_lock(tmp_path / "7-0")
    processes, clock, _ = start_counting(tmp_path)
    if not at_start:  # the upgrade was rolled back
        descriptor = hold_lock(tmp_path / "7-0")
    os.utime(tmp_path / "7-0", ns=(1, 1))
    clock.advance(COUNT_INTERVAL_MS)
    assert processes.count == 2
    assert processes.index_of_other() == (0 if at_start else 1)
    os.close(descriptor)
    processes.close()


def test_order_when_the_name_of_the_other_file_is_not_recognized_then_is_unknown(tmp_path):
    descriptor = hold_lock(tmp_path / "of-a-later-version")
    processes, clock, _ = start_counting(tmp_path)
    clock.advance(COUNT_INTERVAL_MS)
    assert processes.count == 2
    assert processes.index_of_other() is None
    os.close(descriptor)
    processes.close()


@pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC, errno.EMFILE])
@pytest.mark.parametrize(
    ("module", "call", "part"),
    [
        *((os, "makedirs", ""), (os, "listdir", ""), (os, "open", ""), (fcntl, "flock", "")),
        (os, "stat", "node/"),  # of the lock file
    ],
)
def test_start_when_it_fails_then_is_retried_with_each_count(tmp_path, monkeypatch, module, call, part, code):
    descriptors = len(os.listdir("/proc/self/fd"))
    with monkeypatch.context() as patched:
        failing = FailingCall(patched, module, call, code, times=2, part=part)
        log = RecordingLog()
        late, clock, _ = start_counting(tmp_path / "node", log)
        for _ in range(2):
            if failing.times:
                clock.advance(COUNT_INTERVAL_MS)
    assert not failing.times
    assert log.events == [("worker_processes_unknown", None)]
    clock.advance(COUNT_INTERVAL_MS)
    assert log.events == [("worker_processes_unknown", None), ("worker_processes", 1)]
    other, other_clock, _ = start_counting(tmp_path / "node")
    clock.advance(COUNT_INTERVAL_MS)
    assert (late.count, other.count) == (2, 2)
    assert (late.index_of_other(), other.index_of_other()) == (None, None)  # `late` had listened before
    late.close()
    other_clock.advance(COUNT_INTERVAL_MS)
    assert other.count == 1
    other.close()
    assert len(os.listdir("/proc/self/fd")) == descriptors


def test_start_when_it_fails_then_the_others_are_still_counted(tmp_path, monkeypatch):
    other, other_clock, _ = start_counting(tmp_path)
    with monkeypatch.context() as patched:
        FailingCall(patched, worker_processes, "_create_locked", errno.ENOSPC, times=1)
        processes, clock, _ = start_counting(tmp_path)
    assert processes.count == 2
    assert processes.index_of_other() is None
    clock.advance(COUNT_INTERVAL_MS)
    other_clock.advance(COUNT_INTERVAL_MS)
    assert other.count == 2
    processes.close()
    other.close()


@pytest.mark.parametrize(
    ("module", "call", "code"),
    [
        *((os, "open", code) for code in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO)),
        *((fcntl, "flock", code) for code in (errno.ENOLCK, errno.EIO)),
        *((os, "listdir", code) for code in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO)),
    ],
)
def test_count_when_a_file_cannot_be_checked_then_the_last_count_is_kept(
    tmp_path, monkeypatch, module, call, code
):
    log = RecordingLog()
    processes, clock, counts = start_counting(tmp_path, log)
    other, _, _ = start_counting(tmp_path)
    clock.advance(COUNT_INTERVAL_MS)
    FailingCall(monkeypatch, module, call, code, times=3)
    clock.advance(2 * COUNT_INTERVAL_MS)
    assert counts == [2]
    assert log.events == [("worker_processes", 2), ("worker_processes_unknown", None)]
    clock.advance(2 * COUNT_INTERVAL_MS)
    assert counts == [2]
    assert log.events[2:] == [("worker_processes", 2)]
    other.close()
    clock.advance(COUNT_INTERVAL_MS)
    assert counts == [2, 1]
    processes.close()


def test_count_when_a_file_left_behind_cannot_be_removed_then_it_is_not_counted(tmp_path, monkeypatch):
    (tmp_path / "7-0").write_text("left behind")
    (tmp_path / "folder").mkdir()
    FailingCall(monkeypatch, os, "unlink", errno.EROFS, times=8)
    log = RecordingLog()
    processes, clock, counts = start_counting(tmp_path, log)
    clock.advance(COUNT_INTERVAL_MS)
    assert (counts, log.events) == ([], [])
    processes.close()
    clock.advance(COUNT_INTERVAL_MS)


def test_start_when_others_always_take_the_lock_then_stops_and_is_retried(tmp_path, monkeypatch):
    log = RecordingLog()
    attempts = []
    with monkeypatch.context() as patched:
        patched.setattr(worker_processes, "_is_file_at", lambda *args: attempts.append(args))
        processes, clock, _ = start_counting(tmp_path, log)
    assert len(attempts) == MAX_LOCK_ATTEMPTS
    clock.advance(COUNT_INTERVAL_MS)
    assert [event for event, _ in log.events] == ["worker_processes_unknown", "worker_processes"]
    assert len(list(tmp_path.iterdir())) == 1
    processes.close()


def test_count_when_the_process_was_stopped_is_not_current_until_it_has_counted_again(tmp_path):
    clock = ManualClock()
    processes = WorkerProcesses(str(tmp_path / "node"), clock, RecordingLog(), lambda _: None)
    assert not processes.is_count_current
    processes.start()
    clock.advance(10 * COUNT_INTERVAL_MS)
    assert processes.is_count_current
    clock.at += COUNT_VALID_MS + 1  # without running the timer
    assert not processes.is_count_current
    clock.advance(0)
    assert processes.is_count_current
    processes.close()
