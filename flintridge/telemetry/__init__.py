"""What a node tells of itself, behind `net.log.EventLog` and `net.counters.Counters`."""
