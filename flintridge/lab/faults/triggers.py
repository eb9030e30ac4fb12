"""Triggers that start faults when something is observed: a log line, a membership report or a datagram."""

from collections.abc import Callable

from flintridge.lab.fabric import RunClock
from flintridge.lab.faults.step_queue import Step, StepPhase, StepQueue
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import AnyRecord, DatagramRelayed, MembershipReported, NodeLogLine
from flintridge.lab.scenario import model as m
from flintridge.membership.messages import MessageKind

DATAGRAM_NAMES = {  # the names of datagrams in scenarios
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
    """Whether a record matches a trigger.

    Args:
        trigger: The trigger of a fault.
        node: The name of the node at which the trigger must be observed; None: at any node.
        record: The record.
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
    """Waits for one trigger, and schedules the fault's start once `trigger.nth` records have matched."""

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
            trigger: The trigger of the fault.
            node: The name of the node at which the trigger must be observed; None: at any node.
            steps: The queue in which the start is scheduled.
            clock: The run's clock.
            start_at: Returns the step that starts the fault, given the time of the run (ms) of the start.
        """
        self._trigger = trigger
        self._node = node
        self._steps = steps
        self._clock = clock
        self._start_at = start_at
        self._remaining = trigger.nth

    def start(self, log: RecordLog) -> None:
        """Watch new records until the trigger is observed or its `until_s` has passed.

        Args:
            log: The log of the run's records.
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
