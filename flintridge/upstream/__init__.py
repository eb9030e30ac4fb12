"""The server side: connections to cache servers and the origin, and the attempts that are made over them."""
