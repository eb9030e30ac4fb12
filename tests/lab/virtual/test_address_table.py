"""The table of host addresses and the sockets bound to them."""

import errno

import pytest

from flintridge.lab.virtual.address_table import AddressTable, Bindings
from flintridge.lab.virtual.machine import Machine


@pytest.fixture
def table():
    return AddressTable()


@pytest.fixture
def bindings(table):
    return Bindings(table)


def test_reserve_when_port_is_0_then_returns_the_next_free_one(table):
    machine = Machine("a")
    assert table.reserve("0.0.0.0", 0, machine, {("127.0.0.1", 20_000)}) == ("127.0.0.1", 20_001)
    assert table.reserve("::", 0, machine, {}) == ("127.0.0.1", 20_002)


def test_reserve_when_a_port_belongs_to_another_host_then_skips_it(table):
    table.reserve("10.0.0.1", 20_000, Machine("a"), {})
    assert table.reserve("10.0.0.1", 0, Machine("b"), {}) == ("10.0.0.1", 20_001)


def test_reserve_when_the_address_is_bound_then_raises(bindings):
    address = bindings.reserve("10.0.0.1", 80, Machine("a"))
    bindings.bind(address, "socket")
    with pytest.raises(OSError, match=r"10\.0\.0\.1") as caught:
        bindings.reserve("10.0.0.1", 80, Machine("b"))
    assert caught.value.errno == errno.EADDRINUSE


def test_machine_at_when_no_socket_is_bound_any_more_then_returns_the_last_machine(table):
    machine = Machine("a")
    table.reserve("10.0.0.1", 80, machine, {})
    assert table.machine_at(("10.0.0.1", 80), Machine("b")) is machine
    assert table.machine_at(("10.0.0.1", 81), Machine("b")) is None
    table.set_ip("10.0.0.1", machine)
    assert table.machine_at(("10.0.0.1", 81), Machine("b")) is machine


def test_release_when_another_socket_was_bound_since_then_that_one_stays(bindings):
    address = bindings.reserve("10.0.0.1", 80, Machine("a"))
    bindings.bind(address, "first")
    bindings.release(address, "first")
    assert bindings.lookup(address, Machine("b")) is None
    bindings.bind(address, "second")
    bindings.release(address, "first")
    assert bindings.lookup(address, Machine("b")) == "second"


def test_next_source_port_when_the_last_one_was_used_then_wraps_around(table):
    ports = [table.next_source_port("10.0.0.1") for _ in range(32_769)]
    assert ports[0] == 32_768
    assert ports[-2:] == [65_535, 32_768]
