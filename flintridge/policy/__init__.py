"""The decision policy: which server, whether again, what to reject."""
