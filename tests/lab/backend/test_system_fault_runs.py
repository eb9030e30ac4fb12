"""Operating system faults of nodes in whole runs: each is injected and counted on both backends."""

import pytest
from support.system_faults import day_of

from flintridge.lab.run import play
from flintridge.lab.scenario import model as m

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


def caused(result):
    return {name for counts in result.counters.values() for name, count in counts.items() if count} & (
        CAUSED | {"injected_folder", "injected_half_written"}
    )


def test_each_fault_when_run_in_virtual_time_then_is_counted_and_the_run_is_reproducible():
    first, second = (play(day_of(*EVERY_CALL), 3) for _ in range(2))
    assert caused(first) == CAUSED and first.end_reason == "whole"
    assert first.digest == second.digest


def test_each_fault_when_run_on_loopback_then_is_counted_and_no_process_dies():
    folder = m.FolderErrors(at_s=0.5, for_s=2.0, half_written=2)
    result = play(day_of(*EVERY_CALL, folder), 3, backend="loopback")
    assert caused(result) == CAUSED | {"injected_folder", "injected_half_written"}
    assert result.end_reason == "whole"


def test_folder_errors_when_run_in_virtual_time_then_raise():
    with pytest.raises(ValueError, match="folder_errors: on the loopback backend only"):
        play(day_of(m.FolderErrors()), 1)


def test_a_fault_when_triggered_by_a_log_line_then_begins_at_that_line():
    once = m.Seen(line="serving", node=1)
    # The nodes serve before the run begins, so that the log line is that of the restart of node 1.
    restart = m.NodeRestart(at_s=0.5, for_s=0.2, nodes=(1,))
    result = play(day_of(restart, m.ShortIo(at_s=0.0, once=once, nodes=(1,), part=1.0)), 1)
    assert result.counters["n1"]["injected_short_io"] and "injected_short_io" not in result.counters["n0"]
