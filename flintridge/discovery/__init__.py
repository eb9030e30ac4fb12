"""Discovery: the endpoint list, the watch that keeps it up to date, and the overrides by operators."""
