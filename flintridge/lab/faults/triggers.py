"""Faults that begin when something is observed: a log line, a membership report or a datagram."""

from collections.abc import Callable

from flintridge.lab.fabric import RunClock
from flintridge.lab.faults.step_queue import Step, StepPhase, StepQueue
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import AnyRecord, DatagramRelayed, MembershipReported, NodeLogLine
from flintridge.lab.scenario import model as m
from flintridge.membership.messages import MessageKind

DATAGRAM_NAMES = {  # as scenarios name them
    int(MessageKind.PING): "ping",
    int(MessageKind.ACK): "ack",
    int(MessageKind.PING_REQUEST): "ask",
    int(MessageKind.INDIRECT_ACK): "reached",
    int(MessageKind.INDIRECT_NACK): "tried",
    int(MessageKind.GOSSIP): "news",
    int(MessageKind.ACK_RECEIPT): "done",
    int(MessageKind.PAYLOADS): "facts",
}


def matches(trigger: m.Seen, node: str | None, record: AnyRecord) -> bool:
    """Whether a record shows what a trigger waits for.

    Args:
        trigger: What is waited for.
        node: The node at which it must be observed; None: at any.
        record: What was recorded.
    """
    match record:
        case NodeLogLine() if trigger.line:
            return record.event == trigger.line and node in (None, record.node)
        case MembershipReported() if trigger.heard is not None:
            return record.reachable <= trigger.heard and node in (None, record.node)
        case DatagramRelayed() if trigger.datagram:
            return DATAGRAM_NAMES.get(record.kind) == trigger.datagram and node in (None, record.source)
    return False


class TriggerWait:
    """Waits for one trigger, and schedules the fault's start once it is seen often enough."""

    def __init__(
        self,
        trigger: m.Seen,
        node: str | None,
        steps: StepQueue,
        clock: RunClock,
        start_at: Callable[[float], Step],
    ) -> None:
        """Prepare the wait; `start` starts it.

        Args:
            trigger: What is waited for.
            node: The node at which it must be observed; None: at any.
            steps: Where the start is scheduled.
            clock: The run's clock.
            start_at: Returns the step that begins the fault, given the time (ms) at which it does.
        """
        self._trigger = trigger
        self._node = node
        self._steps = steps
        self._clock = clock
        self._start_at = start_at
        self._remaining = trigger.nth

    def start(self, log: RecordLog) -> None:
        """Watch the records from now on, for as long as the trigger says.

        Args:
            log: The run's records.
        """
        self._steps.expect_trigger()
        self._timeout = self._clock.call_later(self._trigger.until_s * 1000, self._expire)
        log.watch(self._observe)

    def _observe(self, record: AnyRecord) -> None:
        if self._remaining <= 0 or not matches(self._trigger, self._node, record):
            return
        self._remaining -= 1
        if self._remaining == 0:
            now = self._clock.now()
            self._timeout.cancel()
            self._steps.add(now, StepPhase.START, self._start_at(now))
            self._steps.trigger_resolved()

    def _expire(self) -> None:
        if self._remaining > 0:
            self._remaining = 0
            self._timeout.cancel()
            self._steps.trigger_resolved()
