"""When the input of a connection may have arrived, though it is read late."""

from flintridge.runtime.clock import Clock


class InputArrival:
    """A lower bound of the arrival of what is read from a connection. Times are the clock's milliseconds.

    Guards against a client's time that is counted from the processing of its command: while the commands of a
    connection wait for their turn nothing more of it is read, and what its client sends meanwhile waits in
    the reader and in the system.

    Attributes:
        arrived_after: No byte of the last read had arrived before.
    """

    __slots__ = ("_all_read_since", "_clock", "_is_late", "_was_paused", "arrived_after")

    def __init__(self, clock: Clock, queued_since: float | None = None) -> None:
        """`queued_since`: since when bytes may have waited with their connection to be accepted."""
        self._clock = clock
        self.arrived_after = clock.earliest_arrival() if queued_since is None else queued_since
        self._all_read_since = self.arrived_after  # all that had arrived before has been read
        self._is_late = queued_since is not None  # what is read next may have arrived since then
        self._was_paused = False

    def before_read(self, has_unread: bool, is_reading: bool) -> None:
        """A read begins.

        Args:
            has_unread: Whether bytes wait in the reader.
            is_reading: Whether the transport reads; else bytes may wait in the system, which the reader gets
                after this read.
        """
        self._is_late = self._is_late or has_unread or not is_reading
        self._was_paused = not is_reading

    def after_read(self) -> None:
        """The read has returned."""
        arrival_of_new_input = self._clock.earliest_arrival()
        self.arrived_after = self._all_read_since if self._is_late else arrival_of_new_input
        self._is_late = self._was_paused
        if not self._was_paused:
            self._all_read_since = arrival_of_new_input
