"""The decisions of a node: which server, whether to retry, what to reject."""
