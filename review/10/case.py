"""Case 10: a restarted node sends requests to a server that has long been draining, as discovery is slow."""

import asyncio
import signal
from pathlib import Path

from review.rig_2.case import run_case
from review.rig_2.network import ask_once
from review.rig_2.program import CaseCouldNotRunError
from review.rig_2.record import Record
from review.rig_2.servers import Discovery
from review.rig_2.small_site import SmallSite

SLOW_S = 2.5  # how long each call waits at discovery; one that waited for 3 s would fail
DRAINING_S = 8.0  # how long the server has been draining when the node is restarted
GRACE_S = 2.0  # rules.drainGraceNs
SOCKET_SLACK_S = 0.05  # "every time limit is 50 ms longer"
MEASURED_S = 8.0


class SlowDiscovery(Discovery):
    """Discovery, whose calls wait before they are handled.

    Attributes:
        wait_s: How long each call waits.
    """

    wait_s = 0.0

    async def _list(self, parameters: dict[str, str]) -> dict[str, object]:
        self.record.add(self.name, f"call {parameters}")
        await asyncio.sleep(self.wait_s)
        listed = await super()._list(parameters)
        self.record.add(self.name, f"answers {listed}")
        return listed


async def read_steadily(site: SmallSite, port: int, until_s: float) -> None:
    """Send reads of many keys, one after another."""
    number = 0
    while site.record.elapsed_s < until_s:
        number += 1
        response = await ask_once(port, b"mg menu:%d v Or-%d Pc=read,d=2000\r\n" % (number, number))
        site.record.add("client", f"Or-{number}: {response.decode()}")
        await asyncio.sleep(0.01)


async def scenario(record: Record, temporary: Path, has_trouble: bool) -> list[str]:
    """Restart a node while a server drains, and count what it sends there after the grace."""
    discovery = SlowDiscovery(record)
    site = SmallSite(record, temporary, 3, discovery=discovery)
    try:
        await site.start()
        config, port = site.platform_node("n1", discovery="pushed")
        first = await site.start_process("n1", config, "n1")
        await first.wait_ready(port)
        draining = site.caches[0]
        discovery.put(draining, "box", "terminating")
        await asyncio.sleep(DRAINING_S)
        first.send_signal(signal.SIGTERM)
        if await first.wait_ended(5) is None:
            raise CaseCouldNotRunError("the node did not end")
        if has_trouble:
            discovery.wait_s = SLOW_S
        sent_before = len(draining.commands)
        started_at = record.elapsed_s
        second = await site.start_process("n1 again", config, "n1")
        await second.wait_ready(port)
        told_s = GRACE_S + SOCKET_SLACK_S
        reading = asyncio.create_task(read_steadily(site, port, started_at + MEASURED_S))
        await asyncio.sleep(max(0.0, started_at + told_s - record.elapsed_s))
        sent_in_grace = len(draining.commands) - sent_before
        await reading
        sent_late = len(draining.commands) - sent_before - sent_in_grace
        record.add(
            "measured", f"sent to {draining.name}: {sent_in_grace} within the grace, {sent_late} later"
        )
        return [f"{sent_late} requests to {draining.name} after the grace"] if sent_late else []
    finally:
        await site.stop()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, scenario)
