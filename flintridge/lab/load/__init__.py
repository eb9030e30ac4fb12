"""The clients: what they ask, when, and what they do with the answers."""
