"""The meta commands of the memcache protocol, for both sides: clients' commands and servers' responses."""
