"""The writer thread of the log."""

import io
import threading

import orjson

from flintridge.telemetry.log import QUEUE_MAX_LINES, Log


def test_log_when_its_sink_blocks_then_drops_lines_and_does_not_block_the_caller():
    class BlockedSink(io.BytesIO):
        def write(self, data):
            unblocked.wait()
            return super().write(data)

    unblocked = threading.Event()
    sink = BlockedSink()
    log = Log("n1", sink)
    for i in range(QUEUE_MAX_LINES + 10):
        log.event("line", number=i)
    assert log.dropped_lines >= 9  # the writer has taken one or none
    unblocked.set()
    log.close(timeout_s=30)
    lines = [orjson.loads(line) for line in sink.getvalue().splitlines()]
    assert lines[0] == {"node": "n1", "event": "line", "number": 0}
    assert len(lines) >= QUEUE_MAX_LINES
