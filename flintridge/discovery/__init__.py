"""Discovery: the endpoint list, the watch that keeps it fresh, and what operators lay over it."""
