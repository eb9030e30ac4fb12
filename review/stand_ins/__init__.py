"""Stand-ins for clients, cache servers, the origin, discovery and the platform, all on loopback."""
