"""Wire protocols as state machines that are fed bytes and do no I/O."""
