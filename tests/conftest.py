"""Fixtures for all tests."""

import asyncio
import gc

import pytest
from support.known_failures import pytest_configure as pytest_configure

from flintridge.lab import virtual


@pytest.fixture(params=["sockets", "virtual"])
def play(request):
    """Runs a test on real sockets and in virtual time, as the drivers must work the same with both.

    The timeout only ends tests that wait forever, so that CI does not hang. No assertion depends on it.
    """
    run = asyncio.run if request.param == "sockets" else virtual.run
    return lambda test: run(asyncio.wait_for(test(), 60))


@pytest.fixture
def no_collector():
    """Disables the garbage collector, so that memory is freed by reference counting only."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()
