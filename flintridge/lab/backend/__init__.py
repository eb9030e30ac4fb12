"""The backends of the lab: virtual time, and real processes on loopback."""
