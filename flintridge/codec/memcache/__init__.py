"""The meta commands of the memcache protocol, both towards clients and towards cache servers."""
