"""Replication of operators' entries: a map that every node holds, merged without a leader.

All but `driver` and `admin` are state machines without I/O; times are float milliseconds of the process's own
clock, passed in. Whatever is lost, late, duplicated, killed or partitioned: **replicas that received the same
writes are equal**, whatever the order; what is missing from a replica says nothing by itself; and what was
replaced or deleted by somebody who had seen it does not come back. The reasons are in
docs/design/replication.md.
"""
