"""The watch on discovery: long polls that keep the endpoint list up to date, and single fetches."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from flintridge.api import EndpointUpdate, UpdateKind
from flintridge.config.address import Address
from flintridge.discovery.backup_calls import BackedUpCaller
from flintridge.discovery.call import LIST_PATH, CallTimes, DiscoveryCall
from flintridge.discovery.client import DiscoveryClient, DiscoveryResponse
from flintridge.discovery.endpoint_list import EndpointList, OvertakenListError, RevisionWentBackError
from flintridge.discovery.list_freshness import ListFreshness
from flintridge.discovery.list_updater import ListUpdater
from flintridge.discovery.startup_fallback import StartupFallback
from flintridge.runtime.clock import Clock, DeadlineExceededError, sleep
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

# Shortest time between the starts of two watch calls. The next call must start within 200 ms of a response.
WATCH_INTERVAL_MS = 100.0
# Calls in flight to addresses that were used before, of which a response is still accepted.
MAX_PREVIOUS_WATCHES = 3
DEFAULT_CALL_TIMES = CallTimes()


@dataclass(slots=True)
class _Watch:
    """A watch on discovery, or what is left of one: a call in flight whose response is still accepted.

    Attributes:
        address: The address of its calls.
        task: Makes the calls.
        called_at: When its call in flight was sent.
        is_overtaken: Whether a response to another call was accepted after its call in flight was sent.
    """

    address: Address
    task: asyncio.Task[None]
    called_at: float
    is_overtaken: bool = False


class DiscoveryWatcher:
    """Polls discovery. The failure of a call is reported to the policy, which decides when to poll again.

    Attributes:
        discovery: Address of discovery.
    """

    def __init__(
        self,
        discovery: Address,
        endpoints: EndpointList,
        clock: Clock,
        notify: Callable[[EndpointUpdate], None],
        log: EventLog,
        counters: Counters,
        times: CallTimes = DEFAULT_CALL_TIMES,
    ) -> None:
        """Start without a call.

        Args:
            discovery: Address of discovery.
            endpoints: The list that responses are applied to.
            clock: The node's clock.
            notify: Called with each update, and with each failure.
            log: The node's log.
            counters: The node's counters.
            times: The times of calls.
        """
        self.discovery = discovery
        self._times = times
        self._endpoints = endpoints
        self._clock = clock
        self._notify = notify
        self._log = log
        self._counters = counters
        # By connection, the newest last: the watch, a call whose response is overdue, and calls in flight to
        # addresses that were used before.
        self._watches: dict[BackedUpCaller, _Watch] = {}
        self._watch_caller: BackedUpCaller | None = None  # sends the watch's calls; None without a watch
        self._fetch_task: asyncio.Task[None] | None = None
        # Changes since the known revision would mean nothing: the next call fetches the full list.
        self._needs_full_list = False
        self._is_started = False
        # Whether the last call confirmed the list because the connection had ended.
        self._confirmed_after_end = False
        self._fallback: StartupFallback | None = None
        self._freshness = ListFreshness(clock)
        self._updater = ListUpdater(endpoints, self._freshness, log, counters)

    @property
    def has_list(self) -> bool:
        """Whether a list has been reported; False while `watch_with_fallback` waits for the first one."""
        return self._fallback is None or not self._fallback.is_pending

    def watch_with_fallback(self, configured: EndpointUpdate) -> None:
        """Watch, beginning with the full list; report `configured` only if discovery is away.

        For settings with pushed lists; see `StartupFallback`.
        """
        self._fallback = StartupFallback(
            configured, self._clock, self._log, self._notify, self._expects_response
        )
        self._needs_full_list = True
        self.watch(True)

    def watch(self, on: bool) -> None:
        """Start the watch, or end it. A running watch is not started twice: that is a call too many."""
        self._is_started = True
        if not on:
            self._end_watches()
        elif self._watch_caller is None:
            self._start_watch()

    def change_address(self, discovery: Address) -> None:
        """Continue at another address, at once and from its full list.

        Its revisions need not continue the old ones. No further calls are made to the old address. A response
        of it that is on its way counts as notified, so the call in flight is ended only once there is a newer
        list. Before the first watch, nothing is called: the configured list, which is reported when the node
        starts, would replace a newer one.
        """
        self.discovery = discovery
        self._freshness.reset_service_time()
        self._needs_full_list = True
        if not self._is_started:
            return
        fetching = self._fetch_task is not None and not self._fetch_task.done()
        self._end_watches(keep=MAX_PREVIOUS_WATCHES)
        self._start_watch()
        if fetching:
            assert self._fetch_task is not None
            self._fetch_task.cancel()
            self._fetch_task = asyncio.ensure_future(self._fetch())

    def _start_watch(self) -> None:
        caller = self._watch_caller = self._caller()
        task = asyncio.ensure_future(self._watch(caller))
        self._watches[caller] = _Watch(self.discovery, task, self._clock.now())

    def _expects_response(self) -> bool:
        """Whether any call may soon be answered: it is not overdue, or its response has begun."""
        return any(not caller.is_overdue or caller.is_receiving for caller in self._watches)

    def _end_watches(self, keep: int = 0) -> None:
        """End all watches but the `keep` newest ones."""
        callers = list(self._watches)
        for caller in callers[: max(0, len(callers) - keep)]:
            self._watches.pop(caller).task.cancel()
        if not keep:
            self._watch_caller = None

    def fetch(self) -> None:
        """Fetch the full list once. A running fetch is not repeated, as that would be a call too many."""
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.ensure_future(self._fetch())

    async def close(self) -> None:
        """Cancel all calls."""
        if self._fallback is not None:
            self._fallback.cancel()
        tasks = [watch.task for watch in self._watches.values()]
        if self._fetch_task is not None:
            tasks.append(self._fetch_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _fetch(self) -> None:
        caller = self._caller()
        try:
            self._freshness.record_call()
            await caller.get(self._times.full_list(), self._report)
            self._counters.observe("list_ms", self._freshness.call_ms)
        except Exception as error:
            if asyncio.current_task() is self._fetch_task:
                self._report_failure(error)
        finally:
            caller.close()

    def _caller(self) -> BackedUpCaller:
        address = self.discovery
        return BackedUpCaller(lambda: DiscoveryClient(address, self._clock), self._clock, self._counters)

    def _next_call(self, caller: BackedUpCaller) -> DiscoveryCall:
        """The next call of the watch.

        It fetches the full list if that is needed, else the changes since the known revision. It waits for a
        change if the list was confirmed before. A connection that has ended since the last response is a
        watch that broke, as is a call that failed. A discovery that ends each connection is not called
        without waiting twice in a row.
        """
        if self._needs_full_list:
            return self._times.full_list()
        has_broken = caller.client.has_ended and not self._confirmed_after_end
        self._confirmed_after_end = has_broken
        revision = self._endpoints.revision
        if self._freshness.is_confirmed and not has_broken:
            return self._times.watch(revision)
        return self._times.confirmation(revision)

    async def _watch(self, caller: BackedUpCaller) -> None:
        try:
            while caller is self._watch_caller:  # else the address has changed
                started_at = self._clock.now()
                call = self._next_call(caller).adapted_to(self._freshness.service_ms)
                watch = self._watches[caller]
                watch.called_at = started_at
                watch.is_overtaken = False
                self._freshness.record_call()
                await caller.get(call, partial(self._accept, caller), partial(self._continue_without, caller))
                taken_ms = self._clock.now() - started_at
                if self._watches[caller].address == self.discovery:
                    self._freshness.record_service_time(taken_ms, call.wait_ms)
                if call.target == LIST_PATH:
                    self._counters.observe("list_ms", taken_ms)
                # Limits the load on discovery if it answers each call at once.
                pause_ms = started_at + WATCH_INTERVAL_MS - self._clock.now()
                if pause_ms > 0:
                    await sleep(self._clock, pause_ms)
        except Exception as error:  # whatever it was, the watch must not end with it
            # Ignores the failure of a call to an old address: it does not matter any more, and the policy
            # would request a second watch.
            if caller is self._watch_caller:
                self._watch_caller = None  # lets the policy start a watch again at once
                if self._fallback is not None:
                    self._fallback.record_failure(self._freshness.call_ms)
                self._report_failure(error)
        finally:
            self._watches.pop(caller, None)
            caller.close()
            self._use_fallback_if_away()

    def _use_fallback_if_away(self) -> None:
        if self._fallback is not None:
            self._fallback.use_if_away()

    def _continue_without(self, caller: BackedUpCaller) -> None:
        """Let the policy start another watch, because the response to this one's call is overdue.

        Discovery may be slow, so the response is still accepted, unless another one is overdue too: of those
        calls, the oldest one is answered first.
        """
        if caller is not self._watch_caller:
            return
        if any(other is not caller and self._is_late(other) for other in self._watches):
            self._watches.pop(caller).task.cancel()
        self._watch_caller = None
        if self._fallback is not None:
            self._fallback.record_overdue()
        self._report_failure(DeadlineExceededError())
        self._use_fallback_if_away()

    def _is_late(self, caller: BackedUpCaller) -> bool:
        """Whether a response of the current discovery is overdue."""
        return caller.is_overdue and self._watches[caller].address == self.discovery

    def _accept(self, caller: BackedUpCaller, response: DiscoveryResponse) -> None:
        """Report a response, and end the calls that were sent before it."""
        watch = self._watches[caller]
        requested_at = watch.called_at if caller.has_overdue_response else None
        if watch.address != self.discovery:
            self._report(response, requested_at)
        elif not self._report_unless_outdated(response, requested_at, watch.is_overtaken):
            return
        callers = list(self._watches)
        self._end_watches(keep=len(callers) - callers.index(caller))
        for other in self._watches.values():
            other.is_overtaken = other is not watch and other.address == watch.address
        if self._watch_caller is None and watch.address == self.discovery:
            self._watch_caller = caller  # goes on with the watch; the policy was to start another one

    def _report_unless_outdated(
        self, response: DiscoveryResponse, requested_at: float | None, is_overtaken: bool
    ) -> bool:
        """Report a response, unless a newer one has overtaken it.

        If it is a change to another list than the known one, the full list is requested: a discovery service
        that was replaced by a new process at the same address begins its revisions anew.

        Returns:
            Whether the response is that of the current list.
        """
        try:
            update = self._report(response, requested_at, is_overtaken)
        except OvertakenListError:
            self._counters.add("endpoint_list_overtaken")
            return False
        except RevisionWentBackError as error:
            self._counters.add("endpoint_list_revision_went_back")
            self._log.event("endpoint_list_replaced", error=str(error))
            self._needs_full_list = True
        else:
            if update.kind is UpdateKind.FULL:
                self._needs_full_list = False
        return True

    def _report(
        self,
        response: DiscoveryResponse,
        requested_at: float | None = None,
        is_overtaken: bool = False,
    ) -> EndpointUpdate:
        update = self._updater.apply(response, self.discovery, requested_at, is_overtaken)
        if self._fallback is not None:
            self._fallback.cancel()
        self._notify(update)
        return update

    def _report_failure(self, error: Exception) -> None:
        self._updater.record_failure(error, self.discovery, is_full_list=self._needs_full_list)
        self._notify(EndpointUpdate(UpdateKind.FAILED))
