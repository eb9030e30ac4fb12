"""Driver of the policy: notifies it of events, one at a time, and has its actions carried out."""

from collections import deque
from collections.abc import Callable

from flintridge import api
from flintridge.core.drivers import Policy
from flintridge.runtime.clock import Clock, to_ms, to_ns
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog


class PolicyDriver:
    """Calls the policy, which is not re-entrant: what happens while it decides waits in a queue.

    Attributes:
        policy: Decides.
        carry_out: Carries out one action. An error that it raises is logged; the next action goes on.
    """

    def __init__(
        self,
        policy: Policy,
        carry_out: Callable[[api.Action], None],
        clock: Clock,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Begin with no event queued.

        Args:
            policy: Decides.
            carry_out: Carries out one action.
            clock: Of the node.
            log: Of the node.
            counters: Of the node.
        """
        self.policy = policy
        self.carry_out = carry_out
        self._clock = clock
        self._log = log
        self._counters = counters
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._closed = False
        self._now = 0  # nanoseconds; it never goes back, nor behind a timer that is due

    def notify(self, event: api.Event) -> None:
        """Notify the policy now, or after the events that are queued."""
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
        """Notify the policy of `TimerFired(token)` at the instant `at`, in nanoseconds."""
        self._clock.call_at(to_ms(at), self._timer_fired, at, token)

    def close(self) -> None:
        """Notify the policy of nothing any more, whatever falls due."""
        self._closed = True

    def _handle(self, event: api.Event) -> None:
        self._now = max(self._now, to_ns(self._clock.now()))
        try:
            actions = self.policy.handle(self._now, event)
        except Exception as error:  # the deadline timer of each request still fails it in time
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
