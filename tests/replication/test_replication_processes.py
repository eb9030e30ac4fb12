"""Real processes that hold the same state over relays that fail. Each test waits for what it wants to
see, with a bound that only a broken program reaches."""

import asyncio
import json
import subprocess
import sys

import orjson

from flintridge.lab.partial.rig import PATIENCE_S, Rig
from flintridge.lab.scenario.model import Load, Nodes, Peers, RequestClass, Scenario

LOOK_S = 0.03


def run(count, work, bytes_per_s=16_000.0, **table):
    """`work(fleet)` with so many nodes that hear one another and have caught up."""
    scenario = Scenario(
        name="rig",
        nodes=Nodes(count=count),
        peers=Peers(bytes_per_s=bytes_per_s),
        load=Load(rate_per_s=1.0),
        length_s=3600.0,
        classes=(RequestClass(name="read"),),
    )
    table = {"wait_ms": 500} | table

    async def play():
        async with Rig(count, 5, scenario, {"state": table}) as rig:
            fleet = Fleet(rig)
            await rig.until(rig.all_hear)
            await fleet.all(lambda said: said["standing"] == "caught")
            await work(fleet)
            assert not rig.nodes.unexpected

    asyncio.run(asyncio.wait_for(play(), 120))


class Fleet:
    def __init__(self, rig):
        self.rig, self.names = rig, rig.names

    async def state(self, node, query=""):
        return await self.rig.console(node, f"/admin/state{query}")

    async def until(self, holds, nodes=()):
        """Wait until that holds of each node's state."""
        async with asyncio.timeout(PATIENCE_S):
            for node in nodes or self.names:
                while (said := await self.state(node)) is None or not holds(said):
                    await asyncio.sleep(LOOK_S)

    async def all(self, holds):
        await self.until(holds)

    async def same(self, nodes=()):
        async with asyncio.timeout(PATIENCE_S):
            while True:
                looks = [await self.state(node) for node in nodes or self.names]
                if None not in looks and len({said["root"] for said in looks}) == 1:
                    return
                await asyncio.sleep(LOOK_S)

    async def write(self, node, name="cache-1", type="hold", why="why", delete=False, had=0, **body):
        call = {"type": type, "name": name, "by": "ann", "why": why, "delete": delete, "body": body}
        said = await self.rig.console(node, "/admin/state", "POST", orjson.dumps(call))
        assert "write" in said, said
        async with asyncio.timeout(PATIENCE_S):
            while had > (await self.rig.console(node, f"/admin/state/had?write={said['write']}"))["had"]:
                await asyncio.sleep(LOOK_S)

    async def hold(self, node, **more):
        await self.write(node, held=True, **more)

    async def release(self, node, **more):
        await self.write(node, held=False, delete=True, **more)

    def from_now_on(self, **table):
        """In the configurations of processes that start from now on."""
        self.rig.net.tables["state"] |= table

    async def restart(self, node):
        self.rig.kill(node)
        await self.rig.nodes.ended(node)
        await self.rig.nodes.start(node)

    def command(self, *words, nodes=()):
        consoles = ["{}:{}".format(*self.rig.net.console(node)) for node in nodes or self.names]
        more = [word for console in consoles for word in ("--console", console)]
        return asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "flintridge.cli", "state", *words, *more],
            capture_output=True,
            text=True,
        )


def test_a_hold_is_had_by_all_and_outlives_all_but_one():
    async def work(fleet):
        done = await fleet.command("hold", "cache-1", "--by", "ann", "--why", "disk", "--wait", "3")
        assert done.returncode == 0 and "3 known to have it" in done.stdout, done.stderr
        await fleet.all(lambda said: said["held"] == ["cache-1"])
        changed = [line for line in fleet.rig.lines("state_changed") if '"why":"disk"' in line.fields]
        assert {line.node for line in changed} == set(fleet.names)
        fleet.rig.kill("n0")
        await fleet.rig.nodes.ended("n0")
        await fleet.restart("n1")
        await fleet.rig.nodes.start("n0")
        await fleet.all(lambda said: said["standing"] == "caught" and said["held"] == ["cache-1"])
        assert (await fleet.command("diff")).returncode == 0
        done = await fleet.command("hold", "x", "--by", "a", "--why", "b", "--wait", "4", "--timeout", "0.3")
        assert done.returncode == 1 and "3 and not 4 nodes" in done.stderr

    run(3, work)


def test_hold_and_release_in_two_halves_of_a_cut():
    async def work(fleet):
        await fleet.hold("n0", had=4)
        fleet.rig.cut([0, 1], [2, 3])
        await fleet.rig.until(lambda: fleet.rig.all_hear(count=2))
        await fleet.hold("n0", why="still broken", had=2)
        await fleet.release("n2", why="mended", had=2)
        await fleet.until(lambda said: not said["held"], ("n2", "n3"))
        await fleet.until(lambda said: said["held"] == ["cache-1"], ("n0", "n1"))
        done = await fleet.command("diff", "--json")
        assert done.returncode == 1 and len(json.loads(done.stdout)["differ"]) == 1
        fleet.rig.heal()
        await fleet.same()
        await fleet.all(lambda said: said["held"] == ["cache-1"] and said["conflicts"] == 1)
        done = await fleet.command("conflicts", nodes=["n3"])
        assert done.returncode == 1 and "counts: " in done.stdout
        assert "still broken" in done.stdout and "mended" in done.stdout
        await fleet.release("n3", why="seen both", had=4)
        await fleet.all(lambda said: not said["held"] and not said["conflicts"])

    run(4, work)


def test_a_release_seen_by_half_before_the_cut_ends_the_hold_everywhere():
    async def work(fleet):
        await fleet.hold("n0", had=3)
        fleet.rig.cut([2], [0, 1])
        await fleet.rig.until(lambda: fleet.rig.all_hear(("n0", "n1"), count=2))
        await fleet.release("n0", had=2)
        fleet.rig.heal()
        await fleet.all(lambda said: not said["held"] and not said["conflicts"])

    run(3, work)


def test_what_two_have_outlives_its_writer_and_what_nobody_heard_does_not():
    async def work(fleet):
        fleet.rig.cut([0], [2])
        await fleet.hold("n0", had=2)
        fleet.rig.kill("n0")
        await fleet.until(lambda said: said["held"] == ["cache-1"], ("n1", "n2"))
        fleet.rig.cut([1], [2])
        await fleet.rig.until(lambda: fleet.rig.all_hear(("n1", "n2"), count=1))
        await fleet.write("n1", "lost", "note", text="x")
        await fleet.rig.nodes.ended("n0")
        await fleet.restart("n1")
        fleet.rig.heal()
        await fleet.until(lambda said: said["held"] == ["cache-1"] and said["entries"] == 1, ("n1", "n2"))

    run(3, work)


def test_what_was_deleted_and_forgotten_does_not_come_back_with_one_that_was_away():
    async def work(fleet):
        await fleet.hold("n0", had=3)
        await fleet.same()
        fleet.rig.cut([2], [0, 1])
        await fleet.rig.until(lambda: fleet.rig.all_hear(("n0", "n1"), count=2))
        await fleet.release("n1")
        await fleet.until(lambda said: said["entries"] == 0, ("n0", "n1"))  # forgotten
        await fleet.write("n2", "meanwhile", "note", text="x")
        assert (await fleet.state("n2"))["held"] == ["cache-1"]
        fleet.rig.heal()
        await fleet.all(lambda said: not said["held"] and said["entries"] == 1)

    run(3, work, remember_s=1)


def test_sources_are_killed_three_times_in_the_middle_of_a_catch_up():
    async def work(fleet):
        for i in range(400):
            await fleet.write("n0", f"note-{i}", "note", text="t" * 150)
        await fleet.same()
        fleet.from_now_on(wait_ms=60_000)
        fleet.rig.kill("n4")
        await fleet.rig.nodes.ended("n4")
        await fleet.rig.nodes.start("n4")
        had = 0
        for _ in range(3):
            await fleet.until(lambda said, had=had: said["entries"] > had and said["asking"], ("n4",))
            said = await fleet.state("n4")
            assert said["standing"] == "catching" and said["entries"] < 400
            had = said["entries"]
            fleet.rig.kill(said["asking"])
        await fleet.until(lambda said: said["standing"] == "caught" and said["entries"] == 400, ("n4",))

    run(5, work, bytes_per_s=160_000.0)


def test_two_that_catch_up_from_one_another_have_not_caught_up():
    async def work(fleet):
        await fleet.hold("n2", had=3)
        fleet.rig.cut([2], [0, 1])
        fleet.from_now_on(wait_ms=60_000)
        for name in ("n0", "n1"):
            await fleet.restart(name)
        await fleet.rig.until(lambda: fleet.rig.all_hear(("n0", "n1"), count=2))
        await fleet.write("n0", "x", "note", text="x")
        await fleet.same(("n0", "n1"))
        for name in ("n0", "n1"):
            assert (await fleet.state(name))["standing"] != "caught"
            assert (await fleet.rig.console(name, "/admin/health"))["state"] == "starting"
        fleet.rig.heal()
        await fleet.all(lambda said: said["standing"] == "caught" and said["held"] == ["cache-1"])
        await fleet.same()

    run(3, work)


def test_one_that_is_stopped_in_the_middle_of_a_catch_up_goes_on():
    async def work(fleet):
        for i in range(100):
            await fleet.write("n0", f"note-{i}", "note", text="t" * 150)
        await fleet.same()
        fleet.from_now_on(wait_ms=60_000)
        await fleet.restart("n1")
        await fleet.until(lambda said: said["asking"], ("n1",))
        fleet.rig.nodes.pause("n0")
        await fleet.rig.until(lambda: fleet.rig.all_hear(("n1",), count=1))
        fleet.rig.nodes.resume("n0")
        await fleet.all(lambda said: said["standing"] == "caught" and said["entries"] == 100)

    run(2, work)
