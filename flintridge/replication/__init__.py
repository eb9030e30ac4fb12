"""State that outlives any one process: a map of typed entries that all nodes hold, without a leader.

State machines without I/O; times are float milliseconds of the process's own clock, passed in. The bound,
whatever is lost, late, doubled, killed or cut off: **copies that heard the same are the same**, whatever the
order; what is missing from a copy says nothing by itself; and what was ended by somebody who had seen it does
not come back. The reasons are in docs/design/replication.md.
"""
