"""A day as a file: the fleet, its load, and what goes wrong, in TOML."""

from flintridge.lab.scenario.model import Fault, Scenario

__all__ = ["Fault", "Scenario"]
