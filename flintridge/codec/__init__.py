"""Wire protocols as I/O-free state machines that are fed bytes."""
