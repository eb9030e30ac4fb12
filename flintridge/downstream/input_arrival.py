"""Estimates when the input of a connection arrived, which may be long before it is read."""

from flintridge.runtime.clock import Clock


class InputArrival:
    """A lower bound for the arrival time of a connection's input. Times are in milliseconds of the clock.

    Guards against measuring a client's timeout from the processing of its command. While the commands of a
    connection wait to be processed, the connection is not read, and bytes that its client sends meanwhile
    wait in the reader and in the kernel.

    Attributes:
        arrived_after: No byte of the last read arrived before this instant.
    """

    __slots__ = ("_clock", "_is_late", "_unread_since", "_was_paused", "arrived_after")

    def __init__(self, clock: Clock, queued_since: float | None = None) -> None:
        """Start with a newly accepted connection.

        Args:
            clock: The node's clock.
            queued_since: The earliest time at which bytes may have arrived while the connection waited to be
                accepted; None if no bytes arrived before the accept.
        """
        self._clock = clock
        self.arrived_after = clock.earliest_arrival() if queued_since is None else queued_since
        self._unread_since = self.arrived_after  # all bytes that arrived before this instant have been read
        self._is_late = queued_since is not None  # the bytes read next may be as old as `_unread_since`
        self._was_paused = False

    def before_read(self, has_unread: bool, is_reading: bool) -> None:
        """Record the state in which a read begins.

        Args:
            has_unread: Whether bytes wait in the reader.
            is_reading: Whether the transport reads. If it is paused, bytes may wait in the kernel, and the
                reader gets them only after this read.
        """
        self._is_late = self._is_late or has_unread or not is_reading
        self._was_paused = not is_reading

    def after_read(self) -> None:
        """Update the bounds after a read has returned."""
        arrival_of_new_input = self._clock.earliest_arrival()
        self.arrived_after = self._unread_since if self._is_late else arrival_of_new_input
        self._is_late = self._was_paused
        if not self._was_paused:
            self._unread_since = arrival_of_new_input
