"""Rules and figures from what both sides saw; it never asks a node."""
