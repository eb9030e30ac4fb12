"""What the whole node runs on: clock, streams, listeners, worker processes."""
