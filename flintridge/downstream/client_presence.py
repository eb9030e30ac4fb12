"""Limits the commands in progress of a client whose departure may go unseen."""

import asyncio

from flintridge.runtime.streams import TrackingReader, pending_input_bytes

# With more input than this in the kernel, its receive window may be closed, and the end of the client's
# stream does not arrive. A response that is written to a client that has left shows it nevertheless.
MAX_INPUT_BEFORE_UNSEEN_END_BYTES = 32 * 1024
# How long a response that was written shows that the client is still there: far less than the 0.1 s within
# which an attempt may still begin after it has left.
RECENT_RESPONSE_MS = 50.0


class ClientPresence:
    """How many commands of a client may be in progress, by the responses that were written to it just before.

    Guards against executing the requests of a client that has sent much and left.
    """

    __slots__ = ("_last_response_at", "_reader", "_recent_responses", "_transport")

    def __init__(self, reader: TrackingReader, transport: asyncio.Transport, now: float) -> None:
        """Start with a client that has just connected.

        Args:
            reader: Reads the connection's input.
            transport: The connection's transport.
            now: The node's clock, in milliseconds.
        """
        self._reader = reader
        self._transport = transport
        self._last_response_at = now
        self._recent_responses = 0  # in a series with pauses of RECENT_RESPONSE_MS at most

    def record_response(self, now: float) -> None:
        """Record that a response was written at the time `now`."""
        self._end_series_if_over(now)
        self._recent_responses += 1
        self._last_response_at = now

    def allows_command(self, in_progress: int, now: float) -> bool:
        """Whether another command may be processed at the time `now`, while `in_progress` others are."""
        if pending_input_bytes(self._reader, self._transport) <= MAX_INPUT_BEFORE_UNSEEN_END_BYTES:
            return True
        self._end_series_if_over(now)
        return in_progress < max(1, self._recent_responses)

    def _end_series_if_over(self, now: float) -> None:
        if now - self._last_response_at > RECENT_RESPONSE_MS:
            self._recent_responses = 0
