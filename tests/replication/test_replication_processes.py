"""Real processes that replicate state over relays that inject faults.

Each test waits until it observes the expected state, with a timeout that only a faulty program reaches.
"""

import asyncio
import json
import subprocess
import sys

import orjson

from flintridge.lab.partial.rig import WAIT_TIMEOUT_S, Rig
from flintridge.lab.scenario.model import Load, Nodes, Peers, RequestClass, Scenario

POLL_INTERVAL_S = 0.03


def run(node_count, steps, bytes_per_s=16_000.0, **table):
    """Run `steps(fleet)` with `node_count` nodes, once they reach one another and have synchronized."""
    scenario = Scenario(
        name="rig",
        nodes=Nodes(count=node_count),
        peers=Peers(bytes_per_s=bytes_per_s),
        load=Load(rate_per_s=1.0),
        length_s=3600.0,
        classes=(RequestClass(name="read"),),
    )
    table = {"wait_ms": 500} | table

    async def run_rig():
        async with Rig(node_count, 5, scenario, {"state": table}) as rig:
            fleet = Fleet(rig)
            await rig.wait_until(rig.all_reachable)
            await fleet.until_all(lambda state: state["standing"] == "caught")
            await steps(fleet)
            assert not rig.nodes.unexpected_ends

    asyncio.run(asyncio.wait_for(run_rig(), 120))


class Fleet:
    """The nodes of a rig, and the actions of their operators."""

    def __init__(self, rig):
        """Create it for the running nodes of `rig`."""
        self.rig = rig
        self.names = rig.names

    async def state(self, node, query=""):
        """The response of a node's /admin/state; None if the node does not respond."""
        return await self.rig.request_admin(node, f"/admin/state{query}")

    async def until(self, condition, nodes=()):
        """Wait until the condition is true of the state of each of those nodes, or of all."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            for node in nodes or self.names:
                while (state := await self.state(node)) is None or not condition(state):
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def until_all(self, condition):
        """Wait until the condition is true of every node's state."""
        await self.until(condition)

    async def until_equal(self, nodes=()):
        """Wait until the replicas of those nodes, or of all, are equal."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                states = [await self.state(node) for node in nodes or self.names]
                if None not in states and len({state["root"] for state in states}) == 1:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def write(self, node, name="cache-1", type_name="hold", why="why", delete=False, holders=0, **body):
        """Write an entry at a node, and wait until at least `holders` nodes have it."""
        call = {"type": type_name, "name": name, "by": "ann", "why": why, "delete": delete, "body": body}
        response = await self.rig.request_admin(node, "/admin/state", "POST", orjson.dumps(call))
        assert "write" in response, response
        query = f"/admin/state/had?write={response['write']}"
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while holders > (await self.rig.request_admin(node, query))["had"]:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def hold(self, node, **options):
        """Write at a node that the server is out of service."""
        await self.write(node, held=True, **options)

    async def release(self, node, **options):
        """Write at a node that the server is in service again."""
        await self.write(node, held=False, delete=True, **options)

    def configure_next(self, **table):
        """Change the table `[state]` for processes that start from now on."""
        self.rig.network.tables["state"] |= table

    async def restart(self, node):
        """Kill a node's process and start another one."""
        self.rig.kill(node)
        await self.rig.nodes.ended(node)
        await self.rig.nodes.start(node)

    def command(self, *arguments, nodes=()):
        """Run `flintridge state` with the admin APIs of those nodes, or of all."""
        addresses = ["{}:{}".format(*self.rig.network.admin_address(node)) for node in nodes or self.names]
        consoles = [argument for address in addresses for argument in ("--console", address)]
        return asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "flintridge.cli", "state", *arguments, *consoles],
            capture_output=True,
            text=True,
        )


def test_hold_when_all_nodes_but_one_restart_is_held_by_all():
    async def steps(fleet):
        result = await fleet.command("hold", "cache-1", "--by", "ann", "--why", "disk", "--wait", "3")
        assert result.returncode == 0, result.stderr
        assert "3 known to have it" in result.stdout, result.stderr
        await fleet.until_all(lambda state: state["held"] == ["cache-1"])
        changed = [line for line in fleet.rig.log_lines("state_changed") if '"why":"disk"' in line.fields]
        assert {line.node for line in changed} == set(fleet.names)
        fleet.rig.kill("n0")
        await fleet.rig.nodes.ended("n0")
        await fleet.restart("n1")
        await fleet.rig.nodes.start("n0")
        await fleet.until_all(lambda state: state["standing"] == "caught" and state["held"] == ["cache-1"])
        assert (await fleet.command("diff")).returncode == 0
        result = await fleet.command(
            "hold", "x", "--by", "a", "--why", "b", "--wait", "4", "--timeout", "0.3"
        )
        assert result.returncode == 1
        assert "3 and not 4 nodes" in result.stderr

    run(3, steps)


def test_hold_and_release_when_written_on_two_sides_of_a_partition_conflict_after_it():
    async def steps(fleet):
        await fleet.hold("n0", holders=4)
        fleet.rig.cut([0, 1], [2, 3])
        await fleet.rig.wait_until(lambda: fleet.rig.all_reachable(count=2))
        await fleet.hold("n0", why="still broken", holders=2)
        await fleet.release("n2", why="mended", holders=2)
        await fleet.until(lambda state: not state["held"], ("n2", "n3"))
        await fleet.until(lambda state: state["held"] == ["cache-1"], ("n0", "n1"))
        result = await fleet.command("diff", "--json")
        assert result.returncode == 1
        assert len(json.loads(result.stdout)["differ"]) == 1
        fleet.rig.heal()
        await fleet.until_equal()
        await fleet.until_all(lambda state: state["held"] == ["cache-1"] and state["conflicts"] == 1)
        result = await fleet.command("conflicts", nodes=["n3"])
        assert result.returncode == 1
        assert "counts: " in result.stdout
        assert "still broken" in result.stdout
        assert "mended" in result.stdout
        await fleet.release("n3", why="seen both", holders=4)
        await fleet.until_all(lambda state: not state["held"] and not state["conflicts"])

    run(4, steps)


def test_release_when_written_during_a_partition_ends_the_hold_everywhere_after_it():
    async def steps(fleet):
        await fleet.hold("n0", holders=3)
        fleet.rig.cut([2], [0, 1])
        await fleet.rig.wait_until(lambda: fleet.rig.all_reachable(("n0", "n1"), count=2))
        await fleet.release("n0", holders=2)
        fleet.rig.heal()
        await fleet.until_all(lambda state: not state["held"] and not state["conflicts"])

    run(3, steps)


def test_write_when_its_writer_dies_survives_only_if_another_node_has_it():
    async def steps(fleet):
        fleet.rig.cut([0], [2])
        await fleet.hold("n0", holders=2)
        fleet.rig.kill("n0")
        await fleet.until(lambda state: state["held"] == ["cache-1"], ("n1", "n2"))
        fleet.rig.cut([1], [2])
        await fleet.rig.wait_until(lambda: fleet.rig.all_reachable(("n1", "n2"), count=1))
        await fleet.write("n1", "lost", "note", text="x")
        await fleet.rig.nodes.ended("n0")
        await fleet.restart("n1")
        fleet.rig.heal()
        await fleet.until(lambda state: state["held"] == ["cache-1"] and state["entries"] == 1, ("n1", "n2"))

    run(3, steps)


def test_deleted_entry_when_its_tombstone_expired_does_not_return_with_a_node_that_was_unreachable():
    async def steps(fleet):
        await fleet.hold("n0", holders=3)
        await fleet.until_equal()
        fleet.rig.cut([2], [0, 1])
        await fleet.rig.wait_until(lambda: fleet.rig.all_reachable(("n0", "n1"), count=2))
        await fleet.release("n1")
        await fleet.until(lambda state: state["entries"] == 0, ("n0", "n1"))  # the tombstone has expired
        await fleet.write("n2", "meanwhile", "note", text="x")
        assert (await fleet.state("n2"))["held"] == ["cache-1"]
        fleet.rig.heal()
        await fleet.until_all(lambda state: not state["held"] and state["entries"] == 1)

    run(3, steps, remember_s=1)


def test_synchronization_when_its_source_is_killed_three_times_continues_with_others():
    async def steps(fleet):
        for i in range(400):
            await fleet.write("n0", f"note-{i}", "note", text="t" * 150)
        await fleet.until_equal()
        fleet.configure_next(wait_ms=60_000)
        fleet.rig.kill("n4")
        await fleet.rig.nodes.ended("n4")
        await fleet.rig.nodes.start("n4")
        entry_count = 0
        for _ in range(3):
            await fleet.until(
                lambda state, count=entry_count: state["entries"] > count and state["asking"], ("n4",)
            )
            state = await fleet.state("n4")
            assert state["standing"] == "catching"
            assert state["entries"] < 400
            entry_count = state["entries"]
            fleet.rig.kill(state["asking"])
        await fleet.until(lambda state: state["standing"] == "caught" and state["entries"] == 400, ("n4",))

    run(5, steps, bytes_per_s=160_000.0)


def test_synchronization_when_two_new_nodes_reach_only_one_another_is_not_complete():
    async def steps(fleet):
        await fleet.hold("n2", holders=3)
        fleet.rig.cut([2], [0, 1])
        fleet.configure_next(wait_ms=60_000)
        for name in ("n0", "n1"):
            await fleet.restart(name)
        await fleet.rig.wait_until(lambda: fleet.rig.all_reachable(("n0", "n1"), count=2))
        await fleet.write("n0", "x", "note", text="x")
        await fleet.until_equal(("n0", "n1"))
        for name in ("n0", "n1"):
            assert (await fleet.state(name))["standing"] != "caught"
            assert (await fleet.rig.request_admin(name, "/admin/health"))["state"] == "starting"
        fleet.rig.heal()
        await fleet.until_all(lambda state: state["standing"] == "caught" and state["held"] == ["cache-1"])
        await fleet.until_equal()

    run(3, steps)


def test_synchronization_when_its_source_is_paused_continues_afterwards():
    async def steps(fleet):
        for i in range(100):
            await fleet.write("n0", f"note-{i}", "note", text="t" * 150)
        await fleet.until_equal()
        fleet.configure_next(wait_ms=60_000)
        await fleet.restart("n1")
        await fleet.until(lambda state: state["asking"], ("n1",))
        fleet.rig.nodes.pause("n0")
        await fleet.rig.wait_until(lambda: fleet.rig.all_reachable(("n1",), count=1))
        fleet.rig.nodes.resume("n0")
        await fleet.until_all(lambda state: state["standing"] == "caught" and state["entries"] == 100)

    run(2, steps)
