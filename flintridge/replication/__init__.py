"""Replication of operators' entries: a map that every node holds, merged without a leader.

All modules except `driver` and `admin` are free of I/O; times are float milliseconds of the process's own
clock, passed in. Three properties hold whichever messages are lost, late or duplicated, whichever processes
are killed, and however the network is partitioned:

- **Replicas that received the same writes are equal**, in whatever order the writes arrived.
- The absence of an entry from a replica is, by itself, no sign that the entry was deleted.
- A version that was replaced or deleted by somebody who had seen it does not come back.

docs/design/replication.md gives the reasons.
"""
