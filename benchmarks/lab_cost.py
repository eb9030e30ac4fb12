"""Measures the cost of a run in virtual time at two sizes: memory, and CPU time per request of node and lab.

Run from the repository's root on a quiet machine: python -m benchmarks.lab_cost [--repeats 3]
Each run has a process of its own, and the two sizes alternate. The repeat with the least CPU time is printed.
Requests of the warm-up are counted like the others. The number of keys is proportional to the traffic.
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


def scaled_scenario(nodes: int, servers: int, rate: float, seconds: float) -> Scenario:
    """The scenario `calm` at another size with the same load per server; `seconds` includes the warm-up."""
    base = load("calm")
    work = base.classes[0].work_ms
    assert isinstance(work, float)
    scale = (servers / 8) / (rate / 300)
    classes = tuple(
        msgspec.structs.replace(each, work_ms=float(each.work_ms) * scale)  # type: ignore[arg-type]
        for each in base.classes
    )
    first_counts = [round(servers * eighths / 8) for eighths in (3, 2)]
    counts = [*first_counts, servers - sum(first_counts)]
    return msgspec.structs.replace(
        base,
        length_s=seconds - WARMUP_S,
        warmup_s=WARMUP_S,
        keys=msgspec.structs.replace(base.keys, count=round(base.keys.count * rate / 300)),
        nodes=msgspec.structs.replace(base.nodes, count=nodes, zones=()),
        servers=tuple(
            Group(kind=group.kind, count=count, weight=group.weight)
            for group, count in zip(base.servers, counts, strict=True)
        ),
        classes=classes,
        origin=msgspec.structs.replace(base.origin, slots=max(1, round(6 * rate / 300))),
        load=msgspec.structs.replace(base.load, rate_per_s=rate, shape="flat"),
        expect=type(base.expect)(),
    )


def measure(size: str) -> dict[str, float]:
    """Run the scenario in this process, and return its costs."""
    started_at = time.process_time()
    scenario = scaled_scenario(*SIZES[size])
    result = play(scenario, 1)
    requests = result.requests * (scenario.length_s + scenario.warmup_s) / scenario.length_s
    return {
        "requests": requests,
        "cpu_s": time.process_time() - started_at,
        "lab_us": 1e6 * result.lab_cpu_s / requests,
        "node_us": 1e6 * result.node_cpu_s / requests,
        "memory_mb": result.peak_memory_mb,
        "goodput": result.goodput,
        "broken": result.violation_count,
    }


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
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
    best = [min(of_size, key=lambda run: run["cpu_s"]) for of_size in runs.values()]
    for size, run in zip(SIZES, best, strict=True):
        print(size, *(f"{name} {value:,.3f}" for name, value in run.items()), sep="\n  ")
    print(f"the lab's own cost per request, large over small: {best[1]['lab_us'] / best[0]['lab_us']:.2f}")


if __name__ == "__main__":
    main()
