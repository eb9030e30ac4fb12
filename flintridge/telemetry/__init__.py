"""A node's telemetry: log events (`log.EventLog`) and metrics (`counters.Counters`)."""
