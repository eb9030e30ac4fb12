"""Measures what it costs to remember the ids of requests that must not be executed twice.

    python -m benchmarks.executed_ids

Prints the bytes that each of COUNT ids uses, the time to begin and end a request and to refuse an id that is
remembered, and how long a process's event loop is held up when it begins to share its ids with another
process, and when the other one takes them over.
"""

import asyncio
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterable
from pathlib import Path

from flintridge.core.executed_ids import ExecutedIds
from flintridge.runtime.clock import SystemClock
from flintridge.runtime.shared_ids import SharedIds
from flintridge.telemetry.log import Log

COUNT = 10_000


def mean_us(call: Callable[[str], object], request_ids: Iterable[str]) -> float:
    """Return the mean time of a call, in microseconds."""
    ids = list(request_ids)
    started_at = time.perf_counter()
    for request_id in ids:
        call(request_id)
    return (time.perf_counter() - started_at) / len(ids) * 1e6


def main() -> None:
    """Measure and print."""
    ids = ExecutedIds(SystemClock(asyncio.new_event_loop()))

    def execute(request_id: str) -> None:
        ids.try_begin(request_id)
        ids.end(request_id, may_have_been_executed=True)

    tracemalloc.start()
    for number in range(COUNT):
        execute(f"client-17-{number}")
    print(f"{tracemalloc.get_traced_memory()[0] / COUNT:.0f} bytes an id at {COUNT} ids")
    tracemalloc.stop()
    print(f"begin and end: {mean_us(execute, map(str, range(1_000))):.2f} us")
    print(f"refuse: {mean_us(ids.try_begin, (f'client-17-{number}' for number in range(COUNT))):.2f} us")
    with tempfile.TemporaryDirectory() as folder:
        old, new = (SharedIds(str(Path(folder) / "node"), Log("n1")) for _ in range(2))
        old.open()
        started_at = time.perf_counter()
        old.publish(ids.remembered_digests())
        published_at = time.perf_counter()
        new.read_published()
        read_at = time.perf_counter()
    print(f"publish: {(published_at - started_at) * 1e3:.1f} ms")
    print(f"take over: {(read_at - published_at) * 1e3:.1f} ms")


if __name__ == "__main__":
    main()
