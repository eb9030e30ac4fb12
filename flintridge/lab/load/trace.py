"""Traces: files with the requests of a run, one JSON line each, which another run can replay."""

import random
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from flintridge.lab.load.arrivals import SEED_BITS, STEP_MS, RateFactor, Slot
from flintridge.lab.load.commands import MAX_VALUE_BYTES
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.load.keys import Keys
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds

MAX_KEY_CHARACTERS = 250
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(GeneratedRequest)


def write(path: Path, requests: Iterable[GeneratedRequest]) -> int:
    """Write a trace.

    Returns:
        The number of lines.

    Raises:
        FileExistsError: The file exists; it is not overwritten.
    """
    count = 0
    with path.open("xb") as file:
        for request in requests:
            file.write(_encoder.encode(request) + b"\n")
            count += 1
    return count


def read(path: Path, scenario: Scenario) -> list[GeneratedRequest]:
    """Read the requests of a trace.

    Raises:
        OSError: The file can't be read.
        ValueError: A line does not match the scenario; the message has its number and the reason.
    """
    with path.open("rb") as file:
        return list(parse(file, scenario, str(path)))


def parse(lines: Iterable[bytes], scenario: Scenario, name: str = "trace") -> Iterator[GeneratedRequest]:
    """Parse the lines of a trace; error messages call the trace by `name`.

    Raises:
        ValueError: A line does not match the scenario; the message has its number and the reason.
    """
    check = _TraceCheck(scenario)
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            request = _decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"{name}: line {number}: {error}") from error
        reason = check.problem(request)
        if reason:
            raise ValueError(f"{name}: line {number}: {reason}")
        yield request


class _TraceCheck:
    """Checks whether the requests of a trace, in their order, can be sent in a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._is_write = {c.name: c.write for c in scenario.classes}
        self._tenants = [t.name for t in scenario.tenants]
        self._zones = scenario.zones
        self._last_ms = float("-inf")

    def problem(self, request: GeneratedRequest) -> str:
        """Return why this request can't be sent; empty if it can."""
        reason = self._problem_of_names(request) or self._problem_of_values(request)
        if not reason:
            self._last_ms = request.scheduled_ms
        return reason

    def _problem_of_names(self, request: GeneratedRequest) -> str:
        class_name = request.class_name
        if class_name not in self._is_write:
            return f"cls: {class_name!r}: not a class of the scenario ({', '.join(self._is_write)})"
        if request.write != self._is_write[class_name]:
            return f"write: {request.write}: the class {class_name} requires the opposite"
        tenants = self._tenants or [""]
        if request.tenant not in tenants:
            known = ", ".join(self._tenants) or "none"
            return f"tenant: {request.tenant!r}: not a tenant of the scenario ({known})"
        if request.zone not in self._zones:
            return f"zone: {request.zone!r}: not a zone of the scenario ({', '.join(self._zones)})"
        return ""

    def _problem_of_values(self, request: GeneratedRequest) -> str:
        key = request.key
        if not 1 <= len(key) <= MAX_KEY_CHARACTERS or not all("!" <= char <= "~" for char in key):
            limit = f"must be 1 to {MAX_KEY_CHARACTERS} printable ASCII characters without spaces"
            return f"key: {key[:40]!r}: {limit}"
        if not 0 <= request.work_ms < float("inf"):
            return f"work_ms: {request.work_ms}: must be a number >= 0"
        if not 0 <= request.size <= MAX_VALUE_BYTES:
            return f"size: {request.size}: must be 0 to {MAX_VALUE_BYTES}"
        if not self._last_ms <= request.scheduled_ms < float("inf"):
            return (
                f"due_ms: {request.scheduled_ms}: must not be before that of the line above ({self._last_ms})"
            )
        return ""


class _LineDraw(NamedTuple):
    """The random numbers of a line of a trace, which do not depend on the rate.

    Attributes:
        threshold: The line is repeated once more if the fraction of the rate factor exceeds this.
        seed: The seed of the line's random streams.
    """

    threshold: float
    seed: int


class Replay:
    """Replays a trace in place of generated arrivals.

    A rate factor above 1 repeats requests, and one below 1 leaves some out. Requests outside of
    [start_ms, end_ms) are not sent.
    """

    def __init__(
        self,
        trace: list[GeneratedRequest],
        seeds: Seeds,
        keys: Keys,
        size_of: Callable[[str], int],
        start_ms: float,
        end_ms: float,
    ) -> None:
        """Create a replay.

        Args:
            trace: The requests, in order of time.
            seeds: Random generators by name.
            keys: Provides the hot key.
            size_of: Returns the size in bytes of a key's value.
            start_ms: The start of the run, including the warm-up.
            end_ms: The end of the run.
        """
        self._trace = trace
        self._keys = keys
        self._size_of = size_of
        self._scheduled_ms = [request.scheduled_ms for request in trace]
        rng = seeds.of("load/replay")
        self._draws = [_LineDraw(rng.random(), rng.getrandbits(SEED_BITS)) for _ in trace]
        self._start_ms = start_ms
        self._end_ms = end_ms

    def step(self, step: int, factor: RateFactor) -> list[Slot]:
        """Return the arrivals of a step, in order of time.

        A slot's layer is the repetition of the line, and its number is the index of the line.
        """
        first = bisect_left(self._scheduled_ms, max(step * STEP_MS, self._start_ms))
        after = bisect_left(self._scheduled_ms, min((step + 1) * STEP_MS, self._end_ms))
        slots: list[Slot] = []
        for index in range(first, after):
            at_ms = self._scheduled_ms[index]
            multiple = factor(at_ms)
            line = self._draws[index]
            repetitions = int(multiple)
            if line.threshold < multiple - repetitions:
                repetitions += 1
            slots.extend(Slot(at_ms, i, index, line.seed ^ i) for i in range(repetitions))
        return slots

    def generate(self, slot: Slot, rng: random.Random) -> GeneratedRequest:
        """Return the request of a slot as in the trace, but with the hot key in place of some reads' keys."""
        request = self._trace[slot.number]
        if rng.random() < self._keys.hot_fraction and not request.write:
            hot = self._keys.hot
            return msgspec.structs.replace(request, key=hot, size=self._size_of(hot))
        return request
