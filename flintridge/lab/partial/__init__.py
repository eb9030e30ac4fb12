"""Test environments in which several nodes communicate and the network between them fails partially.

Virtual time, hundreds of processes that run only the part under test: `virtual_fleet` (failure detectors),
`replica_fleet` and `replica_run` (replicas) and `lease_fleet` (leases). `random_faults` holds the faults of
their random runs.

Real processes of the unmodified program: `relay` forwards datagrams and streams, each direction separately.
`peer_network` opens all relays and records what the admin APIs report. `rig` lets a test drive the processes.
"""
