"""Fixtures that all tests share."""

import asyncio
import gc

import pytest
from support.known_failures import pytest_configure as pytest_configure

from flintridge.lab import virtual


@pytest.fixture(params=["sockets", "virtual"])
def play(request):
    """Runs a test on real sockets, or in virtual time: the drivers must not know the one from the other.

    What it waits for and never comes ends it, and so CI: no verdict rests on the bound.
    """
    run = asyncio.run if request.param == "sockets" else virtual.run
    return lambda test: run(asyncio.wait_for(test(), 60))


@pytest.fixture
def no_collector():
    """What is freed in the test is freed by its references alone."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()
