"""Several nodes that reach one another, and the partial failures between them.

In virtual time, hundreds of processes without the rest of the node: `virtual_fleet` (failure detectors),
`replica_fleet` and `replica_run` (replicas), `lease_fleet` (leases), with the faults of `random_faults`.
With real processes: `relay` (datagrams and streams between them, each direction by itself), `peer_network`
(all relays, and what the admin APIs report), `rig` (the unmodified program, driven by a test).
"""
