"""The count of a node's processes, by locks that end with them, among the files that dead ones left."""

import os
import signal
import subprocess
import sys

import pytest
from support.network import HandClock, quiet

from flintridge.config.node_config import MAX_VALUE_MB
from flintridge.config.platform_config import node_config
from flintridge.node import Node
from flintridge.runtime.worker_processes import COUNT_INTERVAL_MS, WorkerProcesses

LOCKING_PROGRAM = """
import sys
sys.path.insert(0, "tests")
from support.network import HandClock, quiet
from flintridge.runtime.worker_processes import WorkerProcesses
WorkerProcesses(sys.argv[1], HandClock(), quiet()[0], print).start()
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


def start_counting(folder):
    clock = HandClock()
    counts = []
    processes = WorkerProcesses(str(folder), clock, quiet()[0], counts.append)
    processes.start()
    return processes, clock, counts


@pytest.mark.parametrize("end", [signal.SIGKILL, None])
def test_count_when_another_process_starts_and_ends_then_follows_however_it_ended(tmp_path, end):
    processes, clock, counts = start_counting(tmp_path / "node")
    assert processes.count == 1
    assert counts == []
    other = start_another_process(tmp_path / "node")
    clock.go(COUNT_INTERVAL_MS)
    assert counts == [2]
    if end is None:
        other.stdin.close()
    else:
        other.send_signal(end)
    other.wait()
    clock.go(COUNT_INTERVAL_MS)
    assert counts == [2, 1]
    assert processes.index_of_other() is None
    assert len(list((tmp_path / "node").iterdir())) == 1
    processes.close()
    assert list((tmp_path / "node").iterdir()) == []


def test_count_when_dead_processes_left_files_then_ignores_and_removes_them(tmp_path):
    for name in ("7-0", f"{os.getpid()}-0", "notes.txt"):
        (tmp_path / name).write_text("left behind")
    processes, clock, counts = start_counting(tmp_path)
    clock.go(4 * COUNT_INTERVAL_MS)
    assert processes.count == 1
    assert counts == []
    assert len(list(tmp_path.iterdir())) == 1
    processes.close()


def test_start_when_the_folder_cannot_be_used_then_counts_this_process_alone(tmp_path):
    (tmp_path / "file").write_text("")
    processes, clock, counts = start_counting(tmp_path / "file" / "node")
    clock.go(COUNT_INTERVAL_MS)
    assert processes.count == 1
    assert counts == []
    processes.close()


def test_limits_when_two_processes_run_then_are_shared_by_both(tmp_path):
    config = node_config(
        {
            "settings": {}, "listen": "127.0.0.1:7", "discovery": "127.0.0.1:8",
            "limits": {"sockets": 384, "memory_mb": 80},
        },
        {},
    )  # fmt: skip
    clock, (log, _) = HandClock(), quiet()
    nodes = [Node(config, clock, log, shared=str(tmp_path)) for _ in range(2)]
    for node in nodes:
        node._worker_processes.start()
    clock.go(COUNT_INTERVAL_MS)
    os.utime(nodes[0]._worker_processes._lock_path, ns=(1, 1))  # files of one moment may bear the same time
    assert [node._worker_processes.index_of_other() for node in nodes] == [1, 0]
    for limit_of, limit in (
        (lambda node: node.downstream.connection_limit, config.client_sockets),
        (lambda node: node.dispatcher.pool.max_connections, config.server_sockets),
        (lambda node: node.core.memory_budget.total, config.memory_budget_bytes),
    ):
        assert sum(map(limit_of, nodes)) <= limit
        assert limit_of(nodes[0]) >= limit // 2
    assert nodes[0].core.memory_budget.total >= MAX_VALUE_MB * 1024 * 1024
    nodes[1]._worker_processes.close()
    clock.go(COUNT_INTERVAL_MS)
    assert nodes[0].downstream.connection_limit == config.client_sockets
    nodes[0]._worker_processes.close()
