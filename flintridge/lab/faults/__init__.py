"""Faults of a scenario on a fleet that runs."""
