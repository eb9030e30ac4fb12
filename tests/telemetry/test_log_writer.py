"""The log's writer."""

import io
import threading

import orjson

from flintridge.telemetry.log import WAITING, Log


def test_a_blocked_log_drops_lines_and_holds_nothing_up():
    class Stuck(io.BytesIO):
        def write(self, data):
            free.wait()
            return super().write(data)

    free, sink = threading.Event(), Stuck()
    log = Log("n1", sink)
    for i in range(WAITING + 10):
        log.event("line", number=i)
    assert log.dropped >= 9  # the writer holds one or none
    free.set()
    log.close(wait_s=30)
    lines = [orjson.loads(line) for line in sink.getvalue().splitlines()]
    assert lines[0] == {"node": "n1", "event": "line", "number": 0} and len(lines) >= WAITING
