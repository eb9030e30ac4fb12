"""Plays the faults of a scenario on a running fleet."""
