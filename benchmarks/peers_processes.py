"""Measures cost and detection times of membership with real processes, over the lab's relays on loopback.

    python -m benchmarks.peers_processes --count 20 --rounds 3

Each round kills a node and restarts it. The times are the seconds until half of the other nodes, and until
all of them, have logged it.
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


def cpu_s(process: NodeProcess) -> float:
    """CPU seconds that a process has used so far."""
    process.resources.sample()
    return process.resources.cpu_s


async def measure(count: int, rounds: int, loss: float) -> None:
    """Measure an idle fleet, then the rounds, and print the results."""
    async with Rig(count, seed=1) as rig:
        all_nodes = range(count)
        if loss:
            rig.set_link_faults(all_nodes, all_nodes, loss=loss)
        await rig.wait_until(rig.all_reachable, 60)
        before = {name: cpu_s(rig.nodes.process(name)) for name in rig.names}
        started_at = rig.fabric.clock.now()
        await asyncio.sleep(IDLE_S)
        idle_cpu_s = [cpu_s(rig.nodes.process(name)) - before[name] for name in rig.names]
        bytes_by_second: dict[tuple[str, int], int] = {}
        for record in rig.log.records:
            if (
                isinstance(record, DatagramRelayed)
                and record.at_ms >= started_at
                and record.outcome != "doubled"
            ):
                key = record.source, int((record.at_ms - started_at) // 1000)
                bytes_by_second[key] = bytes_by_second.get(key, 0) + record.size
        failure_times: list[list[float]] = []
        return_times: list[list[float]] = []
        for round_index in range(rounds):
            node = rig.names[round_index % count]
            others = [name for name in rig.names if name != node]
            at = rig.fabric.clock.now()
            rig.kill(node)
            await rig.wait_until(partial(rig.all_reachable, others, count - 1), 60)
            failure_times.append(detection_times(rig, others, at, count - 1))
            await rig.nodes.ended(node)
            at = rig.fabric.clock.now()
            await rig.nodes.start(node)
            await rig.wait_until(rig.all_reachable, 60)
            return_times.append(detection_times(rig, others, at, count))
        violations = rig.violations()
    sizes = list(bytes_by_second.values())
    cpu_ms_per_s = statistics.mean(idle_cpu_s) / IDLE_S * 1000
    print(f"{count} processes, {loss:.0%} lost: CPU {cpu_ms_per_s:.1f} ms per node and second,")
    print(
        f"  {statistics.mean(sizes):.0f} bytes per node and second, at most {max(sizes)}; rule violations: "
        f"{len(violations)}"
    )
    for event, times in (("death", failure_times), ("return", return_times)):
        half, last = (statistics.mean(of_round[i] for of_round in times) for i in ((count - 1) // 2, -1))
        print(f"  {event}: half know after {half:.2f} s, all after {last:.2f} s")


def detection_times(rig: Rig, others: list[str], at: float, reachable: int) -> list[float]:
    """Seconds from `at` until each of `others` last logged that `reachable` nodes are reachable, sorted."""
    seconds = {}
    for line in rig.log_lines("peers_heard"):
        if line.at_ms >= at and line.node in others and orjson.loads(line.fields)["heard"] == reachable:
            seconds[line.node] = (line.at_ms - at) / 1000
    return sorted(seconds.values())


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--loss", type=float, default=0.0)
    arguments = parser.parse_args()
    asyncio.run(measure(arguments.count, arguments.rounds, arguments.loss))


if __name__ == "__main__":
    main()
