"""Runtime services that all parts of a node use: clock, streams, listeners, worker processes."""
