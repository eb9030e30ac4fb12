"""Scenarios: TOML files that describe a simulated fleet, its load and the faults of a run."""

from flintridge.lab.scenario.model import Fault, Scenario

__all__ = ["Fault", "Scenario"]
