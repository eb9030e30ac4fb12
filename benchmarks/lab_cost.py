"""What a day in virtual time costs: CPU a request, the node's part and the lab's, and memory, at two sizes.

Run from the repository's root on a quiet machine: python -m benchmarks.lab_cost [--repeats 3]
Each figure is of a process of its own, the sizes in turn; of the repeats the one with the least CPU is shown.
Requests of the warm-up are played as the others are, and counted with them; keys grow with the traffic.
"""

import concurrent.futures
import multiprocessing
import time

import msgspec

from benchmarks import harness
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import Group, Scenario

WARMUP_S = 5.0
SIZES = {
    "3 nodes x 8 servers, 300 requests/s, 60 s": (3, 8, 300.0, 60.0),
    "20 nodes x 200 servers, 1,500 requests/s, 20 s": (20, 200, 1500.0, 20.0),
}


def sized(nodes: int, servers: int, rate: float, seconds: float) -> Scenario:
    """The calm day at another size, at the same load of each server; the warm-up is part of `seconds`."""
    day = load("calm")
    work = day.classes[0].work_ms
    assert isinstance(work, float)
    scale = (servers / 8) / (rate / 300)
    classes = tuple(
        msgspec.structs.replace(each, work_ms=float(each.work_ms) * scale)  # type: ignore[arg-type]
        for each in day.classes
    )
    shares = [round(servers * part / 8) for part in (3, 2)]
    counts = [*shares, servers - sum(shares)]
    return msgspec.structs.replace(
        day,
        length_s=seconds - WARMUP_S,
        warmup_s=WARMUP_S,
        keys=msgspec.structs.replace(day.keys, count=round(day.keys.count * rate / 300)),
        nodes=msgspec.structs.replace(day.nodes, count=nodes, zones=()),
        servers=tuple(
            Group(kind=g.kind, count=n, weight=g.weight) for g, n in zip(day.servers, counts, strict=True)
        ),
        classes=classes,
        origin=msgspec.structs.replace(day.origin, slots=max(1, round(6 * rate / 300))),
        load=msgspec.structs.replace(day.load, rate_per_s=rate, shape="flat"),
        expect=type(day.expect)(),
    )


def measure(size: str) -> dict[str, float]:
    """The figures of one play, in this process."""
    began = time.process_time()
    day = sized(*SIZES[size])
    result = play(day, 1)
    requests = result.requests * (day.length_s + day.warmup_s) / day.length_s
    return {
        "requests": requests,
        "cpu_s": time.process_time() - began,
        "lab_us": 1e6 * result.lab_cpu_s / requests,
        "node_us": 1e6 * result.node_cpu_s / requests,
        "memory_mb": result.peak_memory_mb,
        "goodput": result.goodput,
        "broken": result.violation_count,
    }


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--repeats", type=int, default=3)
    repeats = parser.parse_args().repeats
    runs: dict[str, list[dict[str, float]]] = {size: [] for size in SIZES}
    for _ in range(repeats):
        for size in SIZES:
            with concurrent.futures.ProcessPoolExecutor(
                1, mp_context=multiprocessing.get_context("spawn")
            ) as pool:
                runs[size].append(pool.submit(measure, size).result())
    best = [min(each, key=lambda run: run["cpu_s"]) for each in runs.values()]
    for size, run in zip(SIZES, best, strict=True):
        print(size, *(f"{name} {value:,.3f}" for name, value in run.items()), sep="\n  ")
    print(f"the lab's own cost a request, large over small: {best[1]['lab_us'] / best[0]['lab_us']:.2f}")


if __name__ == "__main__":
    main()
