"""A scripted policy for tests of the request core."""

from flintridge import api
from flintridge.api import Outcome


class ScriptedPolicy:
    """A policy that records events and returns the actions of the test's handlers, by event type."""

    def __init__(self) -> None:
        self.events: list[tuple[int, api.Event]] = []
        self.handlers = {}
        self.handling = False

    def handle(self, now, event):
        assert not self.handling, "handle is not re-entrant"
        self.handling = True
        self.events.append((now, event))
        actions = self.handlers.get(type(event), lambda _: [])(event)
        self.handling = False
        return actions

    def attempt_ends(self) -> list[tuple[int, Outcome, bool]]:
        return [(e.attempt, e.outcome, e.final) for _, e in self.events if isinstance(e, api.AttemptEnded)]
