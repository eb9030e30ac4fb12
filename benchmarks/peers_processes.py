"""What presence costs and how soon it knows with real processes, over the lab's relays on loopback.

    python -m benchmarks.peers_processes --count 20 --rounds 3

Each round kills a node and starts it anew; times are seconds until half, and all, of the others logged it.
"""

import asyncio
import statistics
from functools import partial

import orjson

from benchmarks import harness
from flintridge.lab.backend.node_process import NodeProcess
from flintridge.lab.partial.rig import Rig
from flintridge.lab.records import DatagramRelayed

IDLE_S = 20.0


def cpu(process: NodeProcess) -> float:
    """CPU seconds of a process so far."""
    process.resources.sample()
    return process.resources.cpu_s


async def play(count: int, rounds: int, loss: float) -> None:
    """Measure an idle fleet, then the rounds, and print the figures."""
    async with Rig(count, seed=1) as rig:
        everyone = range(count)
        if loss:
            rig.set_link_faults(everyone, everyone, loss=loss)
        await rig.wait_until(rig.all_reachable, 60)
        before = {name: cpu(rig.nodes.process(name)) for name in rig.names}
        began = rig.fabric.clock.now()
        await asyncio.sleep(IDLE_S)
        took = [cpu(rig.nodes.process(name)) - before[name] for name in rig.names]
        seconds: dict[tuple[str, int], int] = {}
        for record in rig.log.records:
            if isinstance(record, DatagramRelayed) and record.at_ms >= began and record.outcome != "doubled":
                key = record.source, int((record.at_ms - began) // 1000)
                seconds[key] = seconds.get(key, 0) + record.size
        deaths: list[list[float]] = []
        returns: list[list[float]] = []
        for turn in range(rounds):
            node = rig.names[turn % count]
            others = [name for name in rig.names if name != node]
            at = rig.fabric.clock.now()
            rig.kill(node)
            await rig.wait_until(partial(rig.all_reachable, others, count - 1), 60)
            deaths.append(times(rig, others, at, count - 1))
            await rig.nodes.ended(node)
            at = rig.fabric.clock.now()
            await rig.nodes.start(node)
            await rig.wait_until(rig.all_reachable, 60)
            returns.append(times(rig, others, at, count))
        breaches = rig.violations()
    sizes = list(seconds.values())
    cost = statistics.mean(took) / IDLE_S * 1000
    print(f"{count} processes, {loss:.0%} lost: CPU {cost:.1f} ms a node and second,")
    print(f"  {statistics.mean(sizes):.0f} bytes each, most {max(sizes)}; rules broken: {len(breaches)}")
    for name, known in (("death", deaths), ("return", returns)):
        half, last = (statistics.mean(one[i] for one in known) for i in ((count - 1) // 2, -1))
        print(f"  {name}: half know after {half:.2f} s, all after {last:.2f} s")


def times(rig: Rig, others: list[str], at: float, heard: int) -> list[float]:
    """Seconds from `at` until each of them last came to hear so many."""
    found = {}
    for line in rig.log_lines("peers_heard"):
        if line.at_ms >= at and line.node in others and orjson.loads(line.fields)["heard"] == heard:
            found[line.node] = (line.at_ms - at) / 1000
    return sorted(found.values())


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--loss", type=float, default=0.0)
    arguments = parser.parse_args()
    asyncio.run(play(arguments.count, arguments.rounds, arguments.loss))


if __name__ == "__main__":
    main()
