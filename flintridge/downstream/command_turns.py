"""Turns of connections that have many commands, so that they do not hold up the others."""

import asyncio
from collections import deque

# How many connections get a turn in one iteration of the event loop.
TURNS_PER_ITERATION = 2


class CommandTurns:
    """Lets connections process further commands one after another, a few in each iteration of the event loop.

    A connection's first commands need no turn. Guards the clients that send one command at a time: an
    iteration in which hundreds of connections process all their commands takes longer than clients wait.
    """

    def __init__(self) -> None:
        """Start without waiting connections."""
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def wait(self) -> None:
        """Wait for the connection's turn, at least until the next iteration of the event loop."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turns)

    def _give_turns(self) -> None:
        self._is_scheduled = False
        for _ in range(min(TURNS_PER_ITERATION, len(self._waiting))):
            turn = self._waiting.popleft()
            if not turn.done():  # its task may have been cancelled
                turn.set_result(None)
        if self._waiting:
            self._schedule()
