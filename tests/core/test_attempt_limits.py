"""The core hands a send's limits on to its driver."""

import asyncio

from support.network import SETTINGS, HandClock, Replies, make_request, quiet

from flintridge import api
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.request import UpstreamAttempt
from flintridge.runtime.clock import NS_PER_MS


def test_the_core_hands_the_limits_on_and_ends_what_its_client_left():
    async def test():
        class Sends:
            def handle(self, now, event):
                if isinstance(event, api.RequestReceived):
                    return [api.Send(event.id, "s1", 0, now + 100 * NS_PER_MS, now + 200 * NS_PER_MS)]
                return []

        started: list[UpstreamAttempt] = []
        clock = HandClock()
        log, counters = quiet()
        core = RequestLifecycle(Sends(), SETTINGS, clock, 1 << 20, log, counters)
        driver = type("Driver", (), {"start": staticmethod(started.append)})()
        core.attach(driver, driver)
        core.submit(make_request("a1"), Replies())
        (attempt,) = started
        assert (attempt.begin_by, attempt.written_by) == (clock.now() + 100, clock.now() + 200)
        assert not attempt.request_ended
        core.client_disconnected("a1")
        assert attempt.request_ended

    asyncio.run(test())
