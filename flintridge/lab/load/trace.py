"""Requests as a file, one JSON line each: what came on a day, to be asked again on another."""

import random
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from flintridge.lab.load.arrivals import STEP_MS, Factor, Slot
from flintridge.lab.load.keys import Keys
from flintridge.lab.load.requests import MAX_VALUE, Drawn
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds

MAX_KEY = 250
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Drawn)


def write(path: Path, requests: Iterable[Drawn]) -> int:
    """Write a trace; the number of lines. No file is written over: raises FileExistsError."""
    count = 0
    with path.open("xb") as file:
        for count, drawn in enumerate(requests, 1):  # noqa: B007
            file.write(_encoder.encode(drawn) + b"\n")
    return count


def read(path: Path, scenario: Scenario) -> list[Drawn]:
    """The requests of a trace. Raises OSError, and ValueError naming the line that is not fit and why."""
    with path.open("rb") as file:
        return list(parse(file, scenario, str(path)))


def parse(lines: Iterable[bytes], scenario: Scenario, name: str = "trace") -> Iterator[Drawn]:
    """As `read`, from lines."""
    classes = {c.name: c.write for c in scenario.classes}
    tenants = [t.name for t in scenario.tenants]
    last = float("-inf")
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            drawn = _decoder.decode(line)
            reason = _unfit(drawn, classes, tenants, scenario.zones, last)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            reason = str(error)
        if reason:
            raise ValueError(f"{name}: line {number}: {reason}")
        last = drawn.due_ms
        yield drawn


def _unfit(
    drawn: Drawn, classes: dict[str, bool], tenants: list[str], zones: tuple[str, ...], last: float
) -> str:
    """Why this request can't be asked in this scenario; empty where it can."""
    if drawn.cls not in classes:
        return f"cls: {drawn.cls!r}: not a class of the scenario ({', '.join(classes)})"
    if drawn.write != classes[drawn.cls]:
        return f"write: {drawn.write}: the class {drawn.cls} is otherwise"
    if (drawn.tenant not in tenants) if tenants else drawn.tenant != "":
        return f"tenant: {drawn.tenant!r}: not a tenant of the scenario ({', '.join(tenants) or 'none'})"
    if drawn.zone not in zones:
        return f"zone: {drawn.zone!r}: not a zone of the scenario ({', '.join(zones)})"
    if not 1 <= len(drawn.key) <= MAX_KEY or not all("!" <= char <= "~" for char in drawn.key):
        return f"key: {drawn.key[:40]!r}: must be 1 to {MAX_KEY} printable ASCII characters without spaces"
    if not 0 <= drawn.work_ms < float("inf"):
        return f"work_ms: {drawn.work_ms}: must be a number >= 0"
    if not 0 <= drawn.size <= MAX_VALUE:
        return f"size: {drawn.size}: must be 0 to {MAX_VALUE}"
    if not last <= drawn.due_ms < float("inf"):
        return f"due_ms: {drawn.due_ms}: must not be before the line above ({last})"
    return ""


class Replay:
    """A trace as a source of arrivals, in place of drawn ones. A burst asks requests again, or leaves some
    out; what falls outside of [begin, end) in ms is not asked."""

    def __init__(
        self,
        trace: list[Drawn],
        seeds: Seeds,
        keys: Keys,
        size_of: Callable[[str], int],
        begin: float,
        end: float,
    ) -> None:
        """`keys` tells which key is hot, `size_of` the bytes of its value."""
        self._trace = trace
        self._keys, self._size_of = keys, size_of
        self._due = [drawn.due_ms for drawn in trace]
        rng = seeds.of("load/replay")
        self._marks = [(rng.random(), rng.getrandbits(64)) for _ in trace]
        self._begin, self._end = begin, end

    def step(self, number: int, factor: Factor) -> list[Slot]:
        """As `arrivals.Arrivals.step`; layer and place of a slot are the copy and the line."""
        first = bisect_left(self._due, max(number * STEP_MS, self._begin))
        after = bisect_left(self._due, min((number + 1) * STEP_MS, self._end))
        slots: list[Slot] = []
        for index in range(first, after):
            t = self._due[index]
            times = factor(t)
            whole = int(times)
            mark, seed = self._marks[index]
            copies = whole + (mark < times - whole)
            slots += [Slot(t, copy, index, seed ^ copy) for copy in range(copies)]
        return slots

    def draw(self, slot: Slot, rng: random.Random) -> Drawn:
        """The request as the trace has it, but for a key that is hot now."""
        drawn, keys = self._trace[slot.place], self._keys
        if rng.random() < keys.part and not drawn.write:
            return msgspec.structs.replace(drawn, key=keys.hot, size=self._size_of(keys.hot))
        return drawn
