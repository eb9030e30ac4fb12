"""Which host has which address."""

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


def test_reserve_when_no_port_is_asked_for_then_gives_the_next_free_one(table):
    machine = Machine("a")
    assert table.reserve("0.0.0.0", 0, machine, {("127.0.0.1", 20_000)}) == ("127.0.0.1", 20_001)
    assert table.reserve("::", 0, machine, {}) == ("127.0.0.1", 20_002)


def test_reserve_when_a_port_was_another_hosts_then_passes_it_over(table):
    table.reserve("10.0.0.1", 20_000, Machine("a"), {})
    assert table.reserve("10.0.0.1", 0, Machine("b"), {}) == ("10.0.0.1", 20_001)


def test_reserve_when_the_address_is_bound_then_raises(bindings):
    address = bindings.reserve("10.0.0.1", 80, Machine("a"))
    bindings.bind(address, "socket")
    with pytest.raises(OSError, match=r"10\.0\.0\.1") as caught:
        bindings.reserve("10.0.0.1", 80, Machine("b"))
    assert caught.value.errno == errno.EADDRINUSE


def test_machine_at_when_nobody_is_bound_any_more_then_is_still_the_last_one(table):
    machine = Machine("a")
    table.reserve("10.0.0.1", 80, machine, {})
    assert table.machine_at(("10.0.0.1", 80), Machine("b")) is machine
    assert table.machine_at(("10.0.0.1", 81), Machine("b")) is None
    table.set_ip("10.0.0.1", machine)
    assert table.machine_at(("10.0.0.1", 81), Machine("b")) is machine


def test_release_when_another_socket_is_bound_by_now_then_that_one_stays(bindings):
    address = bindings.reserve("10.0.0.1", 80, Machine("a"))
    bindings.bind(address, "first")
    bindings.release(address, "first")
    assert bindings.lookup(address, Machine("b")) is None
    bindings.bind(address, "second")
    bindings.release(address, "first")
    assert bindings.lookup(address, Machine("b")) == "second"


def test_next_source_port_when_the_last_was_given_then_begins_anew(table):
    ports = [table.next_source_port("10.0.0.1") for _ in range(32_769)]
    assert ports[0] == 32_768
    assert ports[-2:] == [65_535, 32_768]
