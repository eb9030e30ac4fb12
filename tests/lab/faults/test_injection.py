"""The random injection of failures into system calls."""

import errno

import pytest
from support.system_faults import failing

from flintridge.lab.faults.injection import FolderState, Injector, SystemState


def test_injector_when_seeds_are_equal_then_the_same_fraction_of_calls_fails():
    def draw():
        injector = Injector("seed", failing("accept", "ENFILE", 0.2))
        return [injector.error("accept") is not None for _ in range(2000)]

    assert draw() == draw() and 330 <= sum(draw()) <= 470


@pytest.mark.parametrize("call", ["read", "write"])
def test_injector_when_a_connection_was_accepted_then_injects_only_eintr(call):
    breaking, interrupting = Injector("x", failing(call, "ETIMEDOUT")), Injector("x", failing(call, "EINTR"))
    assert breaking.error(call, opened=False) is None and not breaking.counts
    assert isinstance(breaking.error(call, opened=True), TimeoutError)
    assert isinstance(interrupting.error(call, opened=False), InterruptedError)


def test_injector_when_a_folder_is_full_then_only_calls_that_allocate_space_fail():
    injector = Injector("x", SystemState(folder=(FolderState(("ENOSPC",), 1.0, 0),)))
    assert injector.folder_error(allocates=False) is None
    assert injector.folder_error(allocates=True).errno == errno.ENOSPC
