"""Clients: which requests they send, when, and what they do with the responses."""
