"""System calls of a node's process that fail, transfer fewer bytes or take longer."""

import errno
import os
import socket
import time

import pytest
from support.system_faults import failing

from flintridge.lab.backend import faulty_node
from flintridge.lab.backend.fault_channel import FaultChannel
from flintridge.lab.backend.faulty_node import FaultySocket, FaultySystem
from flintridge.lab.faults.injection import NO_FAULTS, FolderState, SystemState


@pytest.fixture
def lab_side(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    channel = FaultChannel(tmp_path / "n0.faults")
    monkeypatch.setattr(
        FaultySocket, "system", FaultySystem(FaultChannel(tmp_path / "n0.faults"), "seed"), raising=False
    )
    return channel


def pair():
    """Return the connecting and the accepting end of a TCP connection, both with simulated faults."""
    listening = FaultySocket(socket.AF_INET, socket.SOCK_STREAM)
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    opened = FaultySocket(socket.AF_INET, socket.SOCK_STREAM)
    opened.connect(listening.getsockname())
    descriptor, _ = listening._accept()
    listening.close()
    return opened, FaultySocket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)


@pytest.mark.parametrize("call", ["accept", "connect", "socket", "read", "write"])
def test_socket_when_the_lab_sets_a_call_error_then_the_call_fails_and_is_counted(lab_side, call):
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


def test_socket_when_io_is_short_then_transfers_a_part_and_releases_the_buffer(lab_side):
    lab_side.set_state(SystemState(short_io_fraction=1.0, short_io_bytes=2))
    opened, accepted = pair()
    with opened, accepted:
        data = bytearray(b"abcdef")
        assert opened.send(data) == 2
        del data[:2]  # as the event loop removes the data that was sent
        assert opened.sendmsg([b"cd", b"ef"]) == 2
        room = bytearray(6)
        assert accepted.recv(6) == b"ab"
        assert accepted.recv_into(room) == 2 and room[:2] == b"cd"
    assert lab_side.counts()["injected_short_io"] == 4


def test_socket_when_connect_is_interrupted_then_the_connection_is_still_established(lab_side):
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


def test_clock_when_stepped_then_only_the_wall_clock_moves_and_a_later_process_starts_with_it(
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


def test_folder_when_it_has_faults_then_calls_on_it_fail_and_half_written_files_appear(
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
    assert os.listdir(tmp_path)  # calls on other folders succeed
    lab_side.set_state(NO_FAULTS)
    assert len(os.listdir(own)) == 3
    assert lab_side.counts() == {"injected_folder": 2, "injected_half_written": 3}
