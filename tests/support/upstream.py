"""The upstream dispatch towards one scripted server."""

import asyncio

from flintridge.api import Outcome
from flintridge.core.request import UpstreamAttempt
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.net.delivery import Dispatcher
from support.network import SETTINGS, HandClock, make_request, quiet, until

READ = b"mg key7 v O%b Pc=read,t=acme,d=480\r\n"


VALUE = b"VA 2 Oa1\r\nok\r\n"


class Bench:
    """A Delivery towards one peer."""

    def __init__(self, port: int, room: int = 8, flavor: str = "m2", settings=SETTINGS) -> None:
        self.clock = HandClock()
        self.transports = EndpointList((), ("m2", "origin"), settings, self.clock)
        entry = {"id": "s1", "host_port": f"127.0.0.1:{port}", "flavor": flavor, "phase": "in_service"}
        self.transports.apply({"revision": 1, "complete": True, "members": [entry]})
        self.ended: list = []
        log, self.counters = quiet()
        report = lambda attempt, answer: self.ended.append(answer.outcome)  # noqa: E731
        self.delivery = Dispatcher(self.transports, settings, self.clock, room, report, log, self.counters)

    async def carry(self, value=None, wait: float = 400.0) -> UpstreamAttempt:
        now = self.clock.now()
        attempt = UpstreamAttempt("a1", 0, "s1", make_request(value=value), now, now + wait)
        self.delivery.start(attempt)
        await asyncio.sleep(0)
        return attempt

    async def outcome(self, **changes) -> Outcome:
        count = len(self.ended)
        await self.carry(**changes)
        await until(lambda: len(self.ended) > count)
        return self.ended[-1]
