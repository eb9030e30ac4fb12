"""A scripted policy."""

from flintridge import api
from flintridge.api import Outcome


class ScriptedPolicy:
    """Stands for the policy: records events and answers them as the test says."""

    def __init__(self) -> None:
        self.events: list[tuple[int, api.Event]] = []
        self.handlers = {}
        self.inside = False

    def handle(self, now, event):
        assert not self.inside, "handle is not re-entrant"
        self.inside = True
        self.events.append((now, event))
        actions = self.handlers.get(type(event), lambda _: [])(event)
        self.inside = False
        return actions

    def ends(self) -> list[tuple[int, Outcome, bool]]:
        return [(e.attempt, e.outcome, e.final) for _, e in self.events if isinstance(e, api.AttemptEnded)]
