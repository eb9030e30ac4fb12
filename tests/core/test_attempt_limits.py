"""Limits of a `Send` reach the driver with its attempt."""

import asyncio

from support.network import SETTINGS, ManualClock, RecordingResponder, log_and_counters, make_request

from flintridge import api
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.request import UpstreamAttempt
from flintridge.runtime.clock import NS_PER_MS


def test_send_when_it_has_limits_then_the_attempt_has_them_and_ends_with_its_client():
    async def test():
        class Sends:
            def handle(self, now, event):
                if isinstance(event, api.RequestReceived):
                    return [api.Send(event.id, "s1", 0, now + 100 * NS_PER_MS, now + 200 * NS_PER_MS)]
                return []

        started: list[UpstreamAttempt] = []
        clock = ManualClock()
        log, counters = log_and_counters()
        core = RequestLifecycle(Sends(), SETTINGS, clock, 1 << 20, log, counters)
        driver = type("Driver", (), {"start": staticmethod(started.append)})()
        core.attach(driver, driver)
        core.submit(make_request("a1"), RecordingResponder())
        (attempt,) = started
        assert (attempt.begin_by, attempt.written_by) == (clock.now() + 100, clock.now() + 200)
        assert not attempt.request_ended
        core.client_disconnected("a1")
        assert attempt.request_ended

    asyncio.run(test())
