"""The one watch on discovery: long polls that keep the endpoint list fresh, and single fetches."""

import asyncio
from collections.abc import Callable

import h11

from flintridge.api import EndpointUpdate, Settings, UpdateKind
from flintridge.config.address import Address
from flintridge.discovery.client import DiscoveryClient, DiscoveryResponse
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.runtime.clock import Clock, DeadlineExceededError, sleep, to_ms, with_timeout
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

MAX_WATCH_WAIT_MS = 4_000.0
MIN_WATCH_WAIT_MS = 1_000.0
RESPONSE_TIME_MS = 2_000.0  # for a response, beyond the time that the call may wait
LIST_TIME_MS = 3_000.0  # for a call that does not wait
# Between the starts of two watch calls; the next must come within 200 ms of a response.
WATCH_INTERVAL_MS = 100.0
LIST_PATH = "/api/targets"

CALL_ERRORS = (OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError)


def watch_wait_ms(settings: Settings) -> float:
    """How long a watch call may wait: short enough that a silent one does not outlast a drain's grace.

    A connection that falls silent says nothing, and what it misses counts as notified 6 s later. Up to half a
    second of that was gone when the last call began, since its response may have been on the way; the call is
    given up RESPONSE_TIME_MS after its wait, the next one follows within half a second and may take
    LIST_TIME_MS. Guards against a first attempt after the grace, where several nodes poll anew together.
    """
    return min(MAX_WATCH_WAIT_MS, max(MIN_WATCH_WAIT_MS, to_ms(settings.rules.drain_grace_ns)))


class DiscoveryWatcher:
    """Polls discovery. Each call's failure is reported as such; when to poll again is the policy's decision.

    Attributes:
        discovery: Its address.
    """

    def __init__(
        self,
        discovery: Address,
        endpoints: EndpointList,
        clock: Clock,
        notify: Callable[[EndpointUpdate], None],
        log: EventLog,
        counters: Counters,
        wait_ms: float = MAX_WATCH_WAIT_MS,
    ) -> None:
        """`wait_ms`: how long a call may wait for something new."""
        self.discovery = discovery
        self._wait_ms = wait_ms
        self._endpoints = endpoints
        self._clock = clock
        self._notify = notify
        self._log = log
        self._counters = counters
        self._watching: asyncio.Task[None] | None = None
        self._fetching: asyncio.Task[None] | None = None
        # Changes since a revision mean nothing: the next call takes the full list.
        self._needs_full_list = False
        self._logged_correction_ms = 0.0  # of the wall clock, as it was last logged
        self._fallback: EndpointUpdate | None = None  # to go by only if discovery does not answer

    @property
    def has_list(self) -> bool:
        """Whether a list to go by has been reported."""
        return self._fallback is None

    def watch_with_fallback(self, configured: EndpointUpdate) -> None:
        """Where lists are pushed: the full list first, and `configured` only if discovery does not answer.

        What is pushed counts as notified from the first moment of a process, so a list from an earlier time
        may name servers whose drain is long over.
        """
        self._fallback = configured
        self._needs_full_list = True
        self.watch(True)

    def watch(self, on: bool) -> None:
        """Subscribe, or end the subscription; while one goes on another would be a call too many."""
        running = self._watching is not None and not self._watching.done()
        if on and not running:
            self._watching = asyncio.ensure_future(self._watch())
        elif not on and self._watching is not None:
            self._watching.cancel()

    def change_address(self, discovery: Address) -> None:
        """Go on at another address, at once and from its full list.

        Its revisions need not go on from the old ones. Only calls to the old address end; what they would
        still have said is in the new full list.
        """
        self.discovery = discovery
        self._needs_full_list = True
        fetching = self._fetching is not None and not self._fetching.done()
        for task in (self._watching, self._fetching):
            if task is not None:
                task.cancel()
        self._watching = asyncio.ensure_future(self._watch())
        if fetching:
            self._fetching = asyncio.ensure_future(self._fetch())

    def fetch(self) -> None:
        """Fetch the full list once; while one fetch goes on another would be a call too many."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch())

    async def close(self) -> None:
        """End all calls."""
        tasks = [task for task in (self._watching, self._fetching) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _fetch(self) -> None:
        client = DiscoveryClient(self.discovery, self._clock)
        try:
            self._report(await self._full_list(client))
        except CALL_ERRORS as error:
            if asyncio.current_task() is self._fetching:
                self._report_failure(error)
        finally:
            client.close()

    async def _full_list(self, client: DiscoveryClient) -> DiscoveryResponse:
        """The full list, for which discovery need not wait; how long it took is counted."""
        started_at = self._clock.now()
        response = await with_timeout(self._clock, LIST_TIME_MS, client.get(LIST_PATH))
        self._counters.observe("list_ms", self._clock.now() - started_at)
        return response

    async def _changes(self, client: DiscoveryClient) -> DiscoveryResponse:
        """What changed since the revision that is known, once anything has."""
        target = f"{LIST_PATH}?after={self._endpoints.revision}&wait_ms={self._wait_ms:.0f}"
        return await with_timeout(self._clock, self._wait_ms + RESPONSE_TIME_MS, client.get(target))

    async def _watch(self) -> None:
        client = DiscoveryClient(self.discovery, self._clock)
        try:
            while True:
                started_at = self._clock.now()
                poll = self._full_list if self._needs_full_list else self._changes
                self._report(await poll(client))
                self._needs_full_list = False
                # Guards discovery against a list that answers at once, time after time.
                pause_ms = started_at + WATCH_INTERVAL_MS - self._clock.now()
                if pause_ms > 0:
                    await sleep(self._clock, pause_ms)
        except CALL_ERRORS as error:
            # Guards against a call that ran out of time in the moment of a move: its failure is none any
            # more, and the policy would ask for a second watch.
            if asyncio.current_task() is self._watching:
                self._watching = None  # so that the policy may ask again at once
                self._report_failure(error)
        finally:
            client.close()

    def _report(self, response: DiscoveryResponse) -> None:
        update = self._endpoints.apply_json(response.body, response.date_ms)
        self._log_correction()
        self._counters.add("endpoint_list_updates")
        if update.endpoints:
            states = {endpoint.server: endpoint.state.value for endpoint in update.endpoints}
            self._log.event(
                "endpoint_list", kind=update.kind.value, revision=update.version, endpoints=states
            )
        self._fallback = None
        self._notify(update)

    def _log_correction(self) -> None:
        starts = self._endpoints.starts
        if starts.correction_ms == self._logged_correction_ms:
            return
        self._log.event(
            "unix_origin_corrected",
            evidence=starts.evidence.value,
            before_ms=round(self._logged_correction_ms),
            after_ms=round(starts.correction_ms),
        )
        self._logged_correction_ms = starts.correction_ms

    def _report_failure(self, error: Exception) -> None:
        self._counters.add("endpoint_list_failures")
        self._log.event("endpoint_list_failed", error=repr(error))
        fallback = self._fallback
        if fallback is not None:
            self._fallback = None
            self._notify(fallback)
        self._notify(EndpointUpdate(UpdateKind.FAILED))
