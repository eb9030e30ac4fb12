"""One start and one death in a fleet too large for `peers_scale`, told step by step: minutes of one core.

    python -m benchmarks.peers_large --count 1000 --loss 0

Virtual time; every line says how much of it has passed.
"""

import argparse
import statistics

from flintridge.lab.partial.machines import Link, Machines

START_S, PATIENCE_S = 20, 20


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--loss", type=float, default=0.0)
    asked = parser.parse_args()
    machines = Machines(asked.count, 1, link=Link(loss=asked.loss, jitter=2.0), key=b"k" * 32)
    names, rest = machines.names, machines.names[1:]
    for _ in range(START_S // 2):
        machines.run(2000)
        heard = sorted(machines.machine(name).view.heard for name in names)
        print(
            f"{machines.now / 1000:.1f} s: heard, least {heard[0]}, median {heard[asked.count // 2]}",
            flush=True,
        )
    sent = [machines.living(name)[0].seconds.get(s, 0) for name in names for s in range(START_S - 3, START_S)]
    print(f"bytes a node and second: {statistics.mean(sent):.0f}, most {max(sent)}", flush=True)
    life = machines.machine("n0").table.life
    machines.kill("n0")
    tell(machines, "death", rest, life, fresh=False)
    life = machines.start("n0").machine.table.life
    tell(machines, "return", rest, life, fresh=True)


def tell(machines: Machines, what: str, rest: tuple[str, ...], life: int, fresh: bool) -> None:
    """When half, and 99%, of the others hold the life for what it is, in steps of 0.25 s."""
    began, parts = machines.now, [0.5, 0.99]
    while parts and machines.now < began + PATIENCE_S * 1000:
        machines.run(250)
        found = [machines.machine(name).table.find("n0", life) for name in rest]
        knows = sum((one is not None and one.fresh) is fresh for one in found)
        while parts and knows >= parts[0] * len(rest):
            print(
                f"{what} known to {parts.pop(0):.0%} after {(machines.now - began) / 1000:.2f} s", flush=True
            )


if __name__ == "__main__":
    main()
