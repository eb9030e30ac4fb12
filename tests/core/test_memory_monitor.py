"""The log of short memory."""

import io
import json

from support.network import ManualClock

from flintridge.core.memory_budget import MemoryBudget
from flintridge.core.memory_monitor import CHECK_INTERVAL_MS, MemoryMonitor
from flintridge.telemetry.log import Log


def test_memory_when_it_gets_short_and_available_again_then_logs_each_change_once():
    clock, sink = ManualClock(), io.BytesIO()
    log = Log("n1", sink)
    memory = MemoryBudget(100, clock)
    requests = MemoryBudget(50, clock, memory)
    monitor = MemoryMonitor(memory, {"requests": requests}, clock, log)
    requests.charge(50)
    memory.charge(45)
    clock.advance(2 * CHECK_INTERVAL_MS)
    requests.release(30)
    clock.advance(2 * CHECK_INTERVAL_MS)
    requests.release(10)
    clock.advance(2 * CHECK_INTERVAL_MS)
    monitor.close()
    log.close()
    events = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert events == [
        {
            "node": "n1", "event": "memory_short", "total": 100,
            "requests": 50, "unread_responses": 45, "all": 95,
        },
        {
            "node": "n1", "event": "memory_available", "total": 100,
            "requests": 10, "unread_responses": 45, "all": 55,
        },
    ]  # fmt: skip
    assert monitor.peak_bytes == 95
