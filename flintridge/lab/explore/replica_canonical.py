"""Canonical forms of states of replicating processes, with ages in place of times and numbers for names."""

from collections.abc import Mapping, Sequence

from flintridge.lab.explore.replica_model import (
    KEY,
    KnownWrites,
    MessageInFlight,
    PastWrite,
    ReplicaNode,
    RootSummary,
)
from flintridge.replication.entry import Dot, Entry

NumberedDot = tuple[int, ...]  # number of the node, incarnation, number of the write


class CanonicalForm:
    """Builds the form of a state for one numbering of its processes."""

    def __init__(self, processes: Sequence[ReplicaNode], order: Sequence[int], now: float) -> None:
        """Number the processes.

        Args:
            processes: The processes of the state.
            order: The indices of the processes; the process at index `order[0]` gets number 0.
            now: The time by all clocks.
        """
        self._processes = processes
        self._order = order
        self._now = now
        self._numbers: Mapping[str, int] = {
            processes[index].name: number for number, index in enumerate(order)
        }

    def text(
        self, messages: Sequence[MessageInFlight], writes: Sequence[PastWrite], isolated: int | None
    ) -> str:
        """Return the form of the whole state.

        Args:
            messages: The messages in flight.
            writes: All writes until now.
            isolated: The index of the process that is cut off from the others; None if none is.
        """
        form = (
            [self._process(self._processes[index]) for index in self._order],
            sorted(repr(self._message(message)) for message in messages),
            sorted((self._dot(write.dot), self._dots(write.known), write.is_deletion) for write in writes),
            -1 if isolated is None else self._order.index(isolated),
        )
        return repr(form)

    def _dot(self, dot: Dot) -> NumberedDot:
        (node, incarnation), number = dot
        return self._numbers[node], incarnation, number

    def _dots(self, dots: KnownWrites) -> list[NumberedDot]:
        return sorted(self._dot(dot) for dot in dots)

    def _entry(self, entry: Entry) -> object:
        versions = sorted(
            (self._dot(version.dot), version.deleted, self._now - version.written_at)
            for version in entry.versions
        )
        vector = sorted(
            (self._dot((component.writer, component.up_to)), self._now - component.written_at)
            for component in entry.version_vector
        )
        return versions, vector

    def _process(self, process: ReplicaNode) -> object:
        replica = process.replica
        comparisons = sorted(
            (
                self._dot((source, 0)),
                comparison.number,
                comparison.cursor,
                comparison.source_synchronized,
                self._dots(frozenset(comparison.complete_up_to or ())),
            )
            for source, comparison in replica.comparisons.items()
        )
        started = sorted(
            (self._dot((comparison.source, 0)), self._dots(comparison.known), comparison.is_sound)
            for comparison in process.comparisons
        )
        flags = (replica.sync_state, process.incarnation, process.is_sound, process.has_just_compared)
        return (
            self._entry(replica.entries.get(KEY, Entry())),
            flags,
            self._dots(frozenset(replica.complete_up_to.items())),
            comparisons,
            started,
            self._dots(process.known),
            self._dots(process.dropped),
        )

    def _message(self, message: MessageInFlight) -> object:
        return (
            self._order.index(message.target),
            self._dot((message.source, 0)),
            self._dots(message.known),
            self._content(message),
        )

    def _content(self, message: MessageInFlight) -> object:
        content = message.content
        if isinstance(content, Entry):
            return self._entry(content)
        if isinstance(content, RootSummary):
            is_equal = [process.replica.root() == content.root for process in self._processes]
            return content, [is_equal[index] for index in self._order]
        return (
            content.number,
            content.first,
            content.end,
            content.source_synchronized,
            self._dots(frozenset(content.complete_up_to)),
            content.buckets,
            [self._entry(entry) for _, entry in content.entries],
        )
