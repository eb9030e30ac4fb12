"""The real node round the decision module: sockets, protocols, and the core between them."""
