"""The memory of the responses that a client connection holds because the client has not read them yet."""

from flintridge.core.memory_budget import MemoryBudget


class UnreadResponses:
    """Charges a memory budget with the response bytes of one connection that the kernel has not accepted.

    They are charged whether or not bytes are free, because they are in memory already. While too many are
    charged, nothing else is granted: no request, and no further value is read from a server.
    """

    __slots__ = ("_budget", "_charged_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without bytes."""
        self._budget = budget
        self._charged_bytes = 0

    def update(self, held_bytes: int) -> None:
        """Charge the budget with `held_bytes` in place of what was charged before."""
        change = held_bytes - self._charged_bytes
        self._charged_bytes = held_bytes
        if change > 0:
            self._budget.charge(change)
        elif change < 0:
            self._budget.release(-change)
