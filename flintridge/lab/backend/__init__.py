"""Backends of the lab: virtual time, or real processes on loopback."""
