"""The server side: connections to cache servers and the origin, and the attempts sent over them."""
