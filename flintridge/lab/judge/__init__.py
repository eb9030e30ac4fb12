"""The judge: rules and metrics from what clients and servers recorded; it never queries a node."""
