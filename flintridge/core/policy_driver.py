"""Driver of the policy: passes it events, one at a time, and has its actions carried out."""

from collections import deque
from collections.abc import Callable

from flintridge import api
from flintridge.core.drivers import Policy
from flintridge.runtime.clock import Clock, to_ms, to_ns
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog


class PolicyDriver:
    """Calls the policy, which is not re-entrant: events that occur during a call are queued.

    Attributes:
        policy: The decision policy.
        carry_out: Carries out one action. An error that it raises is logged, and the next action runs.
    """

    def __init__(
        self,
        policy: Policy,
        carry_out: Callable[[api.Action], None],
        clock: Clock,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Start with an empty queue.

        Args:
            policy: The decision policy.
            carry_out: Carries out one action.
            clock: The node's clock.
            log: The node's log.
            counters: The node's counters.
        """
        self.policy = policy
        self.carry_out = carry_out
        self._clock = clock
        self._log = log
        self._counters = counters
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._closed = False
        self._now = 0  # nanoseconds; monotonic, and not before a timer that has fired

    def notify(self, event: api.Event) -> None:
        """Pass an event to the policy, after the events that are queued."""
        if self._closed:
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def set_timer(self, at: int, token: int) -> None:
        """Pass `TimerFired(token)` to the policy at the instant `at`, in nanoseconds."""
        self._clock.call_at(to_ms(at), self._timer_fired, at, token)

    def close(self) -> None:
        """Pass no more events to the policy, not even timers that fire later."""
        self._closed = True

    def _handle(self, event: api.Event) -> None:
        self._now = max(self._now, to_ns(self._clock.now()))
        try:
            actions = self.policy.handle(self._now, event)
        except Exception as error:  # each request's deadline timer still fails it in time
            self._counters.add("policy_errors")
            self._log.error("policy_error", error, on=type(event).__name__)
            return
        for action in actions:
            try:
                self.carry_out(action)
            except Exception as error:
                self._counters.add("action_errors")
                self._log.error("action_error", error, action=type(action).__name__)

    def _timer_fired(self, at: int, token: int) -> None:
        self._now = max(self._now, at)
        self.notify(api.TimerFired(token))
