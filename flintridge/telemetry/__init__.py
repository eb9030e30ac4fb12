"""What a node reports of itself: log events (`log.EventLog`) and metrics (`counters.Counters`)."""
