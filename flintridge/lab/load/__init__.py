"""The clients of a run: which requests they send, when, and how they handle the responses."""
