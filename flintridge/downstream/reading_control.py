"""Control over whether a client connection is read, which a drain and a long value can both stop."""

from flintridge.runtime.streams import ReadFlow


class ReadingControl:
    """Pauses and resumes the reading of one connection. While it is paused, input waits in the kernel.

    Attributes:
        held: Whether nothing is read until all pending responses are complete.
    """

    __slots__ = ("_flow", "held")

    def __init__(self, flow: ReadFlow) -> None:
        """Start with a connection that is read."""
        self._flow = flow
        self.held = False

    def pause(self) -> None:
        """Stop reading until `resume`."""
        self._flow.hold()

    def resume(self) -> None:
        """Read again, unless reading is held."""
        if not self.held:
            self._flow.release()

    def hold(self) -> None:
        """Stop reading until `release`, whatever calls `resume` meanwhile."""
        self.held = True
        self.pause()

    def release(self, may_read: bool) -> None:
        """End the hold, and read again if `may_read`."""
        self.held = False
        if may_read:
            self.resume()
