"""Who is of one node: by locks that end with their processes, among what dead ones left."""

import os
import signal
import subprocess
import sys

import pytest
from support.network import HandClock, quiet

from flintridge.config.node_config import MAX_VALUE_MB
from flintridge.config.platform_config import node_config
from flintridge.node import Node
from flintridge.runtime.worker_processes import LOOK, WorkerProcesses

HOLDER = """
import sys
sys.path.insert(0, "tests")
from support.network import HandClock, quiet
from flintridge.runtime.worker_processes import WorkerProcesses
WorkerProcesses(sys.argv[1], HandClock(), quiet()[0], print).start()
print("held", flush=True)
sys.stdin.read()
"""


def another(folder) -> subprocess.Popen:
    process = subprocess.Popen(
        [sys.executable, "-c", HOLDER, str(folder)], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    while process.stdout.readline() != b"held\n":
        pass
    return process


def siblings(folder):
    clock, told = HandClock(), []
    one = WorkerProcesses(str(folder), clock, quiet()[0], told.append)
    one.start()
    return one, clock, told


@pytest.mark.parametrize("end", [signal.SIGKILL, None])
def test_a_process_counts_until_it_ends_however_that_is(tmp_path, end):
    one, clock, told = siblings(tmp_path / "node")
    assert one.count == 1 and told == []
    process = another(tmp_path / "node")
    clock.go(LOOK)
    assert told == [2]
    if end is None:
        process.stdin.close()
    else:
        process.send_signal(end)
    process.wait()
    clock.go(LOOK)
    assert told == [2, 1] and one.place_of_other() is None and len(list((tmp_path / "node").iterdir())) == 1
    one.close()
    assert list((tmp_path / "node").iterdir()) == []


def test_what_dead_processes_left_counts_for_nothing(tmp_path):
    for name in ("7-0", f"{os.getpid()}-0", "notes.txt"):
        (tmp_path / name).write_text("left")
    one, clock, told = siblings(tmp_path)
    clock.go(4 * LOOK)
    assert one.count == 1 and told == [] and len(list(tmp_path.iterdir())) == 1
    one.close()


def test_a_folder_that_cannot_be_used_ends_no_start(tmp_path):
    (tmp_path / "file").write_text("")
    one, clock, told = siblings(tmp_path / "file" / "node")
    clock.go(LOOK)
    assert one.count == 1 and told == []
    one.close()


def test_two_processes_together_hold_what_the_node_may(tmp_path):
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
        node._siblings.start()
    clock.go(LOOK)
    os.utime(nodes[0]._siblings._path, ns=(1, 1))  # files of one moment may bear the same time
    assert [node._siblings.place_of_other() for node in nodes] == [1, 0]
    for get, whole in (
        (lambda node: node.downstream.connection_limit, config.client_sockets),
        (lambda node: node.dispatcher.room, config.server_sockets),
        (lambda node: node.core.memory_budget.total, config.memory_budget_bytes),
    ):
        assert sum(map(get, nodes)) <= whole and get(nodes[0]) >= whole // 2
    assert nodes[0].core.memory_budget.total >= MAX_VALUE_MB * 1024 * 1024
    nodes[1]._siblings.close()
    clock.go(LOOK)
    assert nodes[0].downstream.connection_limit == config.client_sockets
    nodes[0]._siblings.close()
