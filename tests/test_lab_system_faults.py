"""Faults of a node's operating system: each is caused and counted, in virtual time and on loopback."""

import errno
import os
import socket
import time

import msgspec
import pytest

from flintridge.lab.backend import faulty_node
from flintridge.lab.backend.fault_channel import FaultChannel
from flintridge.lab.backend.faulty_node import FaultySocket, FaultySystem
from flintridge.lab.backend.node_faults import NodeFaults
from flintridge.lab.faults.active_faults import ActiveFault, ActiveFaults
from flintridge.lab.faults.check import check
from flintridge.lab.faults.injection import NO_FAULTS, CallErrors, FolderState, Injector, SystemState
from flintridge.lab.run import play
from flintridge.lab.scenario import model as m
from flintridge.lab.scenario.load import load

SHORT = ["length_s=3", "warmup_s=1", "load.rate_per_s=60", "nodes.count=2", "nodes.zones=[]"]
EVERY_CALL = (
    m.SystemCallErrors(call="accept", errors=("ECONNABORTED", "EINTR"), part=0.5),
    m.SystemCallErrors(call="connect", errors=("EADDRNOTAVAIL", "EINTR"), part=0.3),
    m.SystemCallErrors(call="socket", errors=("ENOBUFS",), part=0.3),
    m.SystemCallErrors(call="read", errors=("EINTR", "ETIMEDOUT"), part=0.05),
    m.SystemCallErrors(call="write", errors=("EINTR", "EHOSTUNREACH"), part=0.05),
    m.ShortIo(part=0.5, most_bytes=7),
    m.Stall(part=0.02, most_ms=20.0),
    m.ClockStep(at_s=1.0, seconds=3600.0),
)
CAUSED = {
    f"injected_{name}"
    for name in ("accept", "connect", "socket", "read", "write", "short_io", "stall", "clock_step")
}


def failing(call, name, part=1.0):
    return SystemState(calls=(CallErrors(call, (name,), part),))


def caused(result):
    return {name for counts in result.counters.values() for name, count in counts.items() if count} & (
        CAUSED | {"injected_folder", "injected_half_written"}
    )


# Whole days


def day_of(*faults):
    return msgspec.structs.replace(load("calm", SHORT), faults=faults)


def test_each_fault_when_played_in_virtual_time_then_is_counted_and_the_day_is_the_same_again():
    first, again = (play(day_of(*EVERY_CALL), 3) for _ in range(2))
    assert caused(first) == CAUSED and first.end_reason == "whole"
    assert first.digest == again.digest


def test_each_fault_when_played_on_loopback_then_is_counted_and_no_process_dies():
    folder = m.FolderErrors(at_s=0.5, for_s=2.0, half_written=2)
    result = play(day_of(*EVERY_CALL, folder), 3, backend="loopback")
    assert caused(result) == CAUSED | {"injected_folder", "injected_half_written"}
    assert result.end_reason == "whole"


def test_folder_errors_when_played_in_virtual_time_then_are_refused():
    with pytest.raises(ValueError, match="folder_errors: on the loopback backend only"):
        play(day_of(m.FolderErrors()), 1)


def test_a_fault_when_it_waits_for_a_sign_then_begins_at_that_sign():
    once = m.Seen(line="serving", node=1)
    # The nodes serve before the day begins: the sign is another start of node 1.
    restart = m.NodeRestart(at_s=0.5, for_s=0.2, nodes=(1,))
    result = play(day_of(restart, m.ShortIo(at_s=0.0, once=once, nodes=(1,), part=1.0)), 1)
    assert result.counters["n1"]["injected_short_io"] and "injected_short_io" not in result.counters["n0"]


# The scenario's own checks


@pytest.mark.parametrize(
    ("fault", "path"),
    [
        (m.SystemCallErrors(call="accept", errors=("EPIPE",)), "faults[0].errors[0]"),
        (m.SystemCallErrors(call="read", errors=("EINTR", "EMFILE")), "faults[0].errors[1]"),
        (m.SystemCallErrors(call="socket", errors=("ENFILE",), nodes=(9,)), "faults[0].nodes[0]"),
        (m.ShortIo(count=9), "faults[0].count"),
        (m.ShortIo(part=0.0), "faults[0].part"),
        (m.Stall(for_s=0.0), "faults[0].for_s"),
        (m.ClockStep(seconds=0.0), "faults[0].seconds"),
        (m.ClockStep(seconds=5.0, nodes=(9,)), "faults[0].nodes[0]"),
        (m.FolderErrors(nodes=(9,)), "faults[0].nodes[0]"),
    ],
)
def test_check_when_a_system_fault_means_nothing_then_names_its_path(fault, path):
    [told] = check(day_of(fault))
    assert told.startswith(f"{path}: ")


@pytest.mark.parametrize(
    "text",
    [
        'what = "stall", most_ms = 151',
        'what = "clock_step", seconds = 3601',
        'what = "clock_step"',
        'what = "short_io", most_bytes = 0',
        'what = "system_call_errors", call = "bind", errors = ["EINTR"]',
        'what = "system_call_errors", call = "read", errors = []',
    ],
)
def test_load_when_a_system_fault_is_out_of_range_then_is_refused(text):
    with pytest.raises(Exception, match="faults"):
        load("calm", [f"faults=[{{{text}}}]"])


def test_active_when_faults_overlap_then_shares_combine_and_steps_add_up():
    active = ActiveFaults()
    faults = [
        m.ShortIo(part=0.5, most_bytes=9),
        m.ShortIo(part=0.5, most_bytes=5),
        m.Stall(part=0.1, most_ms=30.0),
        m.ClockStep(seconds=10.0),
        m.ClockStep(seconds=-3.0),
    ]
    active.by_number = {i: ActiveFault(fault, nodes=("n0",)) for i, fault in enumerate(faults)}
    assert active.system_state("n0") == SystemState(
        short_io_fraction=0.75,
        short_io_bytes=5,
        stall_fraction=0.1,
        max_stall_ms=30.0,
        clock_offset_ms=7000.0,
    )
    assert active.system_state("n1") == NO_FAULTS


# The draws


def test_injector_when_seeded_alike_then_draws_alike_and_about_the_share():
    def draw():
        injector = Injector("seed", failing("accept", "ENFILE", 0.2))
        return [injector.error("accept") is not None for _ in range(2000)]

    assert draw() == draw() and 330 <= sum(draw()) <= 470


@pytest.mark.parametrize("call", ["read", "write"])
def test_injector_when_a_connection_was_accepted_then_does_not_break_it_but_interrupts(call):
    breaking, interrupting = Injector("x", failing(call, "ETIMEDOUT")), Injector("x", failing(call, "EINTR"))
    assert breaking.error(call, opened=False) is None and not breaking.counts
    assert isinstance(breaking.error(call, opened=True), TimeoutError)
    assert isinstance(interrupting.error(call, opened=False), InterruptedError)


def test_injector_when_a_folder_is_full_then_only_calls_that_make_something_fail():
    injector = Injector("x", SystemState(folder=(FolderState(("ENOSPC",), 1.0, 0),)))
    assert injector.folder_error(allocates=False) is None
    assert injector.folder_error(allocates=True).errno == errno.ENOSPC


# Loopback: the calls of the process itself


@pytest.fixture
def lab_side(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    channel = FaultChannel(tmp_path / "n0.faults")
    monkeypatch.setattr(
        FaultySocket, "system", FaultySystem(FaultChannel(tmp_path / "n0.faults"), "seed"), raising=False
    )
    return channel


def pair():
    """Two ends of a TCP connection, both of sockets that may go wrong: the one that connected comes first."""
    listening = FaultySocket(socket.AF_INET, socket.SOCK_STREAM)
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    opened = FaultySocket(socket.AF_INET, socket.SOCK_STREAM)
    opened.connect(listening.getsockname())
    descriptor, _ = listening._accept()
    listening.close()
    return opened, FaultySocket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)


@pytest.mark.parametrize("call", ["accept", "connect", "socket", "read", "write"])
def test_socket_when_the_lab_says_so_then_its_call_fails_and_is_counted(lab_side, call):
    opened, accepted = pair()
    calls = {
        "accept": lambda: opened.accept(),
        "connect": lambda: opened.connect(("127.0.0.1", 1)),
        "socket": lambda: FaultySocket(socket.AF_INET, socket.SOCK_STREAM),
        "read": lambda: opened.recv(10),
        "write": lambda: opened.send(b"x"),
    }
    lab_side.set_state(failing(call, "ENOMEM"))
    with opened, accepted, pytest.raises(OSError, match="memory") as caught:
        calls[call]()
    assert caught.value.errno == errno.ENOMEM
    assert lab_side.counts() == {f"injected_{call}": 1}


def test_socket_when_io_is_short_then_takes_a_part_and_holds_no_buffer(lab_side):
    lab_side.set_state(SystemState(short_io_fraction=1.0, short_io_bytes=2))
    opened, accepted = pair()
    with opened, accepted:
        data = bytearray(b"abcdef")
        assert opened.send(data) == 2
        del data[:2]  # as the event loop does with what was sent
        assert opened.sendmsg([b"cd", b"ef"]) == 2
        room = bytearray(6)
        assert accepted.recv(6) == b"ab"
        assert accepted.recv_into(room) == 2 and room[:2] == b"cd"
    assert lab_side.counts()["injected_short_io"] == 4


def test_socket_when_connecting_is_interrupted_then_the_connection_still_comes_up(lab_side):
    lab_side.set_state(failing("connect", "EINTR"))
    with pytest.raises(InterruptedError):
        pair()


def test_socket_when_stalled_then_sleeps_before_the_write(lab_side, monkeypatch):
    opened, accepted = pair()
    slept = []
    monkeypatch.setattr(faulty_node.time, "sleep", slept.append)
    lab_side.set_state(SystemState(stall_fraction=1.0, max_stall_ms=150.0))
    with opened, accepted:
        opened.send(b"x")
    assert len(slept) == 1 and 0 < slept[0] <= 0.15


def test_clock_when_stepped_then_the_wall_clock_alone_moves_and_a_later_process_starts_with_it(
    lab_side, tmp_path, monkeypatch
):
    monkeypatch.setattr(faulty_node.time, "time", time.time)  # undone after the test
    monkeypatch.setattr(faulty_node.time, "time_ns", time.time_ns)
    faulty_node.replace_clock(FaultySocket.system)
    wall_ms, monotonic_s = time.time() * 1000, time.monotonic()
    lab_side.set_state(SystemState(clock_offset_ms=-3_600_000.0))
    assert time.time() * 1000 - wall_ms < -3_500_000 and time.time_ns() / 1e6 - wall_ms < -3_500_000
    assert time.monotonic() >= monotonic_s
    again = FaultySystem(FaultChannel(tmp_path / "n0.faults"), "seed")
    assert again.current().state.clock_offset_ms == -3_600_000.0
    assert lab_side.counts()["injected_clock_step"] == 2


def test_folder_when_it_fails_then_own_calls_fail_and_half_written_files_lie_there(
    lab_side, tmp_path, monkeypatch
):
    for name in ("open", "makedirs", "listdir", "stat", "unlink"):
        monkeypatch.setattr(os, name, getattr(os, name))  # undone after the test
    faulty_node.replace_folder_calls(FaultySocket.system)
    own = str(tmp_path / "flintridge-127.0.0.1-80")
    os.makedirs(own)
    lab_side.set_state(SystemState(folder=(FolderState(("EIO",), 1.0, 3),)))
    with pytest.raises(OSError, match="Input/output error"):
        os.listdir(own)
    with pytest.raises(OSError, match="Input/output error"):
        os.open(f"{own}/1-0", os.O_RDWR | os.O_CREAT)
    assert os.listdir(tmp_path)  # another folder
    lab_side.set_state(NO_FAULTS)
    assert len(os.listdir(own)) == 3
    assert lab_side.counts() == {"injected_folder": 2, "injected_half_written": 3}


def test_nodes_when_no_fault_may_hit_them_then_are_started_as_ever(tmp_path):
    faults = NodeFaults(tmp_path, day_of(m.Stall(nodes=(1,))))
    assert [faults.may_affect(node) for node in ("n0", "n1")] == [False, True]
    assert not NodeFaults(tmp_path, day_of(m.Crash(count=1))).may_affect("n0")
    assert faults.counts("n0") == {}
