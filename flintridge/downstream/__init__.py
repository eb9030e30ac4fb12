"""The client side of a node: its listener, client connections, and the operators' admin API."""
