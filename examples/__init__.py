"""A node's configuration, servers for it to stand in front of, and a client, to try it by hand."""
