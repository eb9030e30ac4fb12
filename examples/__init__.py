"""A node's configuration, toy servers for it, and a client, to try a node by hand."""
