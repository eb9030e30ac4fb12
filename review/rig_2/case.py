"""Runs a case: its folder, its record, its exit code."""

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.rig_2.program import CaseCouldNotRunError
from review.rig_2.record import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
MAX_CASE_S = 115.0

# Performs the case and returns what broke the rule; an empty list if it held.
Scenario = Callable[[Record, Path, bool], Awaitable[list[str]]]


def run_case(folder: Path, scenario: Scenario) -> None:
    """Run a scenario, write its record, and exit with its result."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("case", f"{folder.name}, {'with' if has_trouble else 'without'} the disruption")
    with tempfile.TemporaryDirectory(prefix="review-", ignore_cleanup_errors=True) as temporary:
        loop = asyncio.new_event_loop()
        try:
            breaks = loop.run_until_complete(_run(scenario, record, Path(temporary), has_trouble))
            code = BROKEN if breaks else HELD
            for text in breaks:
                record.add("broken", text)
        except (CaseCouldNotRunError, OSError, TimeoutError, AssertionError) as error:
            code = COULD_NOT_RUN
            record.add("case", f"could not run: {error!r}")
            traceback.print_exc()
    record.add("case", f"exit code {code}")
    record.save()
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code])
    for text in breaks if code == BROKEN else ():
        print(text)
    sys.stdout.flush()
    sys.stderr.flush()
    # Tasks of clients may still run. Cancelling them is not safe: `wait_for` can swallow a cancellation.
    os._exit(code)


async def _run(scenario: Scenario, record: Record, temporary: Path, has_trouble: bool) -> list[str]:
    async with asyncio.timeout(MAX_CASE_S):
        return await scenario(record, temporary, has_trouble)
