"""A few processes that lease one another fractions of a limit, over links that lose, duplicate and delay.

Time advances in ticks of 5 units. In a tick each process's clock advances by 4 or 6 units, so that two clocks
drift apart as far as the lease terms allow. A lease of 10 units lasts two or three ticks for the lessee, and
three or four for its grantor.

A node may have several processes, which count one another in each second tick, or as soon as they resume.
Between a process's resumption and its count lies at most one iteration of its event loop, which is the slack
of the rule.
"""

import itertools
from collections.abc import Hashable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Self

from flintridge.lab.explore.lease_model import (
    CLOCK_SPEEDS,
    DIVISIBLE_TERMS,
    INITIAL_CLOCK,
    NODE_NAMES,
    NOTICE,
    TERMS,
    TICKS_BETWEEN_COUNTS,
    AllocationBuilder,
    LeaseProcess,
    MessageInFlight,
    RemainingSteps,
)
from flintridge.leases.allocation import Allocation, ProcessId
from flintridge.leases.fleet_limit import LeaseTerms
from flintridge.leases.messages import LeaseGrant, LeaseMessage

__all__ = ["CLOCK_SPEEDS", "DIVISIBLE_TERMS", "TERMS", "LeaseState", "RemainingSteps"]


@dataclass(slots=True, frozen=True)
class LeaseState:
    """A state of the processes and of the messages between them.

    Attributes:
        terms: The terms of all leases.
        processes: The processes.
        remaining: How often each kind of step may still occur.
        messages: The messages in flight, in a canonical order.
        build: Builds each process's allocation; a test passes a defective type here.
        ticks_to_count: In how many ticks the processes of each node count one another.
    """

    terms: LeaseTerms
    processes: tuple[LeaseProcess, ...]
    remaining: RemainingSteps
    messages: tuple[MessageInFlight, ...] = ()
    build: AllocationBuilder = Allocation
    ticks_to_count: int = TICKS_BETWEEN_COUNTS

    @classmethod
    def begin(
        cls,
        speeds: tuple[float, ...],
        remaining: RemainingSteps | None = None,
        terms: LeaseTerms = TERMS,
        build: AllocationBuilder = Allocation,
    ) -> Self:
        """Build the initial state.

        Args:
            speeds: How far each process's clock advances in a tick; there is one process for each.
            remaining: How often each kind of step may occur; None for the defaults.
            terms: The terms of all leases.
            build: Builds each process's allocation; a test passes a defective type here.
        """
        processes = tuple(
            LeaseProcess(NODE_NAMES[index], 1, INITIAL_CLOCK, speed, build(terms, 0.0))
            for index, speed in enumerate(speeds)
        )
        return cls(terms, processes, remaining or RemainingSteps(), (), build)

    # Transitions

    def transitions(self) -> Iterator[tuple[str, Self]]:
        """See `State.transitions`."""
        yield "time advances", self._tick()
        for index, process in enumerate(self.processes):
            yield from self._lifecycle_transitions(index, process)
            if not process.is_paused:
                yield from self._request_transitions(index, process)
                yield from self._cancellation_transitions(index, process)
                yield from self._lease_transitions(index, process)
        for message in dict.fromkeys(self.messages):
            yield from self._message_transitions(message)

    def _lifecycle_transitions(self, index: int, process: LeaseProcess) -> Iterator[tuple[str, Self]]:
        remaining = self.remaining
        if process.is_paused:
            resumed = replace(process, is_paused=False, allocation=self._counted(process))
            yield f"{process.name} resumes", self._with_process(index, resumed)
        elif remaining.pauses:
            paused = self._with_process(index, replace(process, is_paused=True))
            yield f"{process.name} is paused", paused._spending(pauses=1)
        process_count = self._process_count(process.name)
        if remaining.starts:
            yield f"another process of {process.name} starts", self._with_another(process)
        if remaining.ends and process_count > 1:
            after = replace(self, processes=(*self.processes[:index], *self.processes[index + 1 :]))
            yield f"process {process.incarnation} of {process.name} ends", after._spending(ends=1)
        if remaining.restarts and process_count == 1:
            restarted = replace(
                process,
                incarnation=process.incarnation + 1,
                allocation=self.build(self.terms, process.clock),
                is_paused=False,
            )
            after = self._with_process(index, restarted)._spending(restarts=1)
            yield f"{process.name} is killed and restarted", after

    def _request_transitions(self, index: int, process: LeaseProcess) -> Iterator[tuple[str, Self]]:
        # `Lessee` requests leases only while it knows of no other process of its node.
        if not self.remaining.requests or not process.allocation.sole_process:
            return
        amount = self.terms.even_fraction - self.terms.floor
        for peer in self.processes:
            if peer.name == process.name:
                continue
            allocation = process.allocation.copy()
            request = allocation.request(process.clock, peer.name, amount)
            after = self._with_process(index, replace(process, allocation=allocation))._spending(requests=1)
            yield (
                f"{process.name} requests a lease from {peer.name}",
                after._send(peer.name, process.id, request),
            )

    def _cancellation_transitions(self, index: int, process: LeaseProcess) -> Iterator[tuple[str, Self]]:
        if not self.remaining.cancellations:
            return
        for key in process.allocation.requested:
            if key in process.allocation.acquired:
                continue
            allocation = process.allocation.copy()
            cancellation = allocation.cancel(key.grantor, key.lease_id)
            after = self._with_process(index, replace(process, allocation=allocation))
            after = after._spending(cancellations=1)
            yield (
                f"{process.name} cancels its request to {key.grantor}",
                after._send(key.grantor, process.id, cancellation),
            )

    def _lease_transitions(self, index: int, process: LeaseProcess) -> Iterator[tuple[str, Self]]:
        """Yield renewals and releases of the leases that the process has acquired."""
        for key in process.allocation.acquired:
            if self.remaining.renewals:
                allocation = process.allocation.copy()
                renewal = allocation.renewal(process.clock, key.grantor, key.lease_id)
                if renewal is not None:
                    after = self._with_process(index, replace(process, allocation=allocation))
                    after = after._spending(renewals=1)
                    yield (
                        f"{process.name} renews its lease from {key.grantor}",
                        after._send(key.grantor, process.id, renewal),
                    )
            allocation = process.allocation.copy()
            release = allocation.release(key.grantor, key.lease_id)
            if release is not None:
                after = self._with_process(index, replace(process, allocation=allocation))
                yield (
                    f"{process.name} releases its lease from {key.grantor}",
                    after._send(key.grantor, process.id, release),
                )

    def _message_transitions(self, message: MessageInFlight) -> Iterator[tuple[str, Self]]:
        """Yield what may happen to a message, which may arrive at any process of its node."""
        source = message.source
        description = f"{type(message.content).__name__} from {source.name} to {message.target}"
        for index, process in enumerate(self.processes):
            if process.name != message.target or process.is_paused:
                continue
            allocation = process.allocation.copy()
            response = allocation.receive(process.clock, source, message.content)
            after = self._without(message)._with_process(index, replace(process, allocation=allocation))
            if response is not None:
                after = after._send(source.name, process.id, response)
            yield f"{description} arrives", after
        if self.remaining.losses:
            yield f"{description} is lost", self._without(message)._spending(losses=1)
        if self.remaining.duplicates:
            duplicated = self._send(message.target, source, message.content)._spending(duplicates=1)
            yield f"{description} is duplicated", duplicated

    # Several processes of a node

    def _process_count(self, name: str) -> int:
        return sum(process.name == name for process in self.processes)

    def _newest_incarnation(self, name: str) -> int:
        return max(process.incarnation for process in self.processes if process.name == name)

    def _with_another(self, process: LeaseProcess) -> Self:
        """Return the state in which another process of the same node has started."""
        allocation = self.build(self.terms, process.clock)
        allocation.process_count_changed(process.clock, self._process_count(process.name) + 1, NOTICE)
        incarnation = self._newest_incarnation(process.name) + 1
        started = replace(process, incarnation=incarnation, allocation=allocation, is_paused=False)
        return replace(self, processes=(*self.processes, started))._spending(starts=1)

    def _counted(self, process: LeaseProcess) -> Allocation:
        """Return a copy of a process's allocation once it has counted the processes of its node."""
        allocation = process.allocation.copy()
        count = self._process_count(process.name)
        if count != allocation.process_count:
            allocation.process_count_changed(process.clock, count)
        return allocation

    def _tick(self) -> Self:
        processes = []
        is_count_due = self.ticks_to_count == 1
        for process in self.processes:
            advanced = replace(process, clock=process.clock + process.speed)
            if not process.is_paused:
                allocation = self._counted(advanced) if is_count_due else process.allocation.copy()
                allocation.remove_expired(advanced.clock)
                advanced = replace(advanced, allocation=allocation)
            processes.append(advanced)
        ticks_to_count = TICKS_BETWEEN_COUNTS if is_count_due else self.ticks_to_count - 1
        return replace(self, processes=tuple(processes), ticks_to_count=ticks_to_count)

    def _spending(self, **counts: int) -> Self:
        """Return the state with the remaining steps of each kind reduced by `counts`."""
        fewer = {name: getattr(self.remaining, name) - count for name, count in counts.items()}
        return replace(self, remaining=replace(self.remaining, **fewer))

    def _with_process(self, index: int, process: LeaseProcess) -> Self:
        return replace(self, processes=(*self.processes[:index], process, *self.processes[index + 1 :]))

    def _send(self, target: str, source: ProcessId, content: LeaseMessage) -> Self:
        messages = (*self.messages, MessageInFlight(target, source, content))
        return replace(self, messages=tuple(sorted(messages, key=repr)))

    def _without(self, message: MessageInFlight) -> Self:
        index = self.messages.index(message)
        return replace(self, messages=self.messages[:index] + self.messages[index + 1 :])

    # Invariants

    def violated_invariant(self) -> str:
        """See `State.violated_invariant`."""
        usable = {process.id: self._usable(process) for process in self.processes}
        limit = self.terms.even_fraction * len(self._node_names())
        if sum(usable.values()) > limit:
            return f"the usable amounts {usable} exceed the limit of {limit}"
        for process in self.processes:
            allocation = process.allocation
            is_alone = self._process_count(process.name) == 1 and allocation.sole_process
            is_usable = process.clock >= allocation.unusable_until
            if is_alone and is_usable and usable[process.id] < self.terms.floor:
                return f"the usable amount of {process.name} is less than its floor: {usable}"
        return ""

    def _usable(self, process: LeaseProcess) -> int:
        """Return what a process may use, or could use if it resumed now."""
        allocation = self._counted(process) if process.is_paused else process.allocation
        return allocation.usable(process.clock)

    def _node_names(self) -> list[str]:
        return list(dict.fromkeys(process.name for process in self.processes))

    # Symmetry

    def canonical_key(self) -> Hashable:
        """See `State.canonical_key`.

        The key is the smallest form over all numberings of the nodes that keep the sequence of speeds.
        """
        speeds = {process.name: process.speed for process in self.processes}
        names = sorted(speeds)
        forms = []
        for order in itertools.permutations(names):
            if [speeds[name] for name in order] != [speeds[name] for name in names]:
                continue
            numbers = {name: number for number, name in enumerate(order)}
            process_forms = sorted(self._process_form(process, numbers) for process in self.processes)
            forms.append(repr((process_forms, self._message_forms(numbers))))
        # Counts make no difference while each node has one process, and none can start.
        has_counts = self.remaining.starts or len(self.processes) > len(names)
        return min(forms), self.remaining, self.ticks_to_count if has_counts else 0

    def _process_form(self, process: LeaseProcess, numbers: Mapping[str, int]) -> tuple[object, ...]:
        """Return a process's state with remaining times in place of times, and numbers in place of names."""
        incarnations = {name: self._newest_incarnation(name) for name in numbers}
        now = process.clock
        allocation = process.allocation
        granted = sorted(
            (
                numbers[key.lessee.name],
                incarnations[key.lessee.name] - key.lessee.incarnation,
                key.lease_id,
                lease.amount,
                lease.expires_at - now,
            )
            for key, lease in allocation.granted.items()
            if lease.expires_at > now
        )
        acquired = sorted(
            (numbers[key.grantor], key.lease_id, lease.amount, max(0.0, lease.expires_at - now))
            for key, lease in allocation.acquired.items()
        )
        requested = sorted(
            (numbers[key.grantor], key.lease_id, amount) for key, amount in allocation.requested.items()
        )
        floor_only_ms = max(0.0, allocation.started_at + self.terms.grantor_lease_ms - now)
        return (
            numbers[process.name],
            incarnations[process.name] - process.incarnation,
            process.speed,
            process.is_paused,
            allocation.process_count,
            max(0.0, allocation.unusable_until - now),
            floor_only_ms,
            granted,
            acquired,
            requested,
            allocation.last_lease_id,
        )

    def _message_forms(self, numbers: Mapping[str, int]) -> list[str]:
        by_name = {process.name: process for process in self.processes}
        forms = []
        for message in self.messages:
            content = message.content
            # `requested_at` is a time by the lessee's clock. Ages above two lease durations do not differ in
            # their effect, so they count as two.
            lessee = by_name[message.target if isinstance(content, LeaseGrant) else message.source.name]
            requested_at = getattr(content, "requested_at", None)
            age = None if requested_at is None else min(lessee.clock - requested_at, 2 * self.terms.lease_ms)
            form = (
                numbers[message.target],
                numbers[message.source.name],
                self._newest_incarnation(message.source.name) - message.source.incarnation,
                type(content).__name__,
                content.lease_id,
                getattr(content, "amount", 0),
                age,
            )
            forms.append(repr(form))
        return sorted(forms)
