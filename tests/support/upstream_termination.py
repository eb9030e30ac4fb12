"""The upstream dispatch, for tests of how attempts end."""

import asyncio

from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.net import delivery
from flintridge.net.delivery import Dispatcher
from support.network import SETTINGS, HandClock, make_request, quiet, until

VALUE = b"VA 2 Oa1\r\nok\r\n"


class Bench:
    """A Delivery towards one peer. With `slow`, its connections come up when the test says so."""

    def __init__(self, port: int, flavor: str = "m2", monkeypatch=None) -> None:
        self.clock = HandClock()
        self.transports = EndpointList((), ("m2", "origin"), SETTINGS, self.clock)
        entry = {"id": "s1", "host_port": f"127.0.0.1:{port}", "flavor": flavor, "phase": "in_service"}
        self.transports.apply({"revision": 1, "complete": True, "members": [entry]})
        self.ended: list[AttemptResult] = []
        log, self.counters = quiet()
        report = lambda attempt, answer: self.ended.append(answer)  # noqa: E731
        self.delivery = Dispatcher(self.transports, SETTINGS, self.clock, 8, report, log, self.counters)
        self.links: dict = {}
        connect = self.delivery._connect

        async def connected(address, limit):
            link = await connect(address, limit)
            self.links[link] = None
            return link

        self.delivery._connect = connected
        self.up = asyncio.Event()
        self.asked = 0
        if monkeypatch is not None:
            opened = delivery._open

            async def late(address):
                self.asked += 1
                await self.up.wait()
                return await opened(address)

            monkeypatch.setattr(delivery, "_open", late)

    def attempt(self, uid: str = "a1", value=None, wait: float = 400.0, **limits) -> UpstreamAttempt:
        now = self.clock.now()
        limits = {name: now + after for name, after in limits.items()}
        return UpstreamAttempt(uid, 0, "s1", make_request(uid, value=value), now, now + wait, **limits)

    async def carry(self, **changes) -> UpstreamAttempt:
        attempt = self.attempt(**changes)
        self.delivery.start(attempt)
        await asyncio.sleep(0)
        return attempt

    async def answer(self, **changes) -> AttemptResult:
        count = len(self.ended)
        await self.carry(**changes)
        await until(lambda: len(self.ended) > count)
        return self.ended[-1]


def client_left(bench, attempt) -> None:
    attempt.request_ended = True  # as the core says of the attempts of a request that has ended


def grace_over(bench, attempt) -> None:
    bench.clock.go(201)


def origin_says(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
