"""The fleet in virtual time."""

import asyncio

from support.lab_fleet import run_with_fleet


def test_a_server_when_it_crashed_by_overload_is_listed_as_terminated():
    async def test(fleet):
        name, host = next(iter(fleet.world.servers.items()))
        host.crash_by_overload()
        await asyncio.sleep(0.5)
        assert name not in [c.endpoint.id for c in fleet.world.discovery.model.endpoints.snapshot()]

    run_with_fleet(test)


def test_values_when_the_run_goes_on_change_until_it_ends():
    async def test(fleet):
        await asyncio.sleep(30)
        changes = sum(version - 1 for version in fleet.world.objects._versions.values())
        assert 100 < changes < 200
        await fleet.world.close()
        await asyncio.sleep(5)
        assert sum(version - 1 for version in fleet.world.objects._versions.values()) == changes

    run_with_fleet(test)
