"""Rules and metrics from what both sides of the nodes saw; it never asks a node."""
