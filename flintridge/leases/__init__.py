"""Leases of fleet-wide limits.

Processes lease parts of a limit to one another, and the sum of what all of them may use never exceeds the
limit. `allocation` enforces that; `lessee` and `grantor` decide which leases a process requests and grants;
`lease_manager` combines them for all limits; `messages` has the encoding. None of these does I/O. `driver`
connects them to the clock, the peers and the policy. docs/design/leases.md gives the reasons.
"""
