"""The client side of HTTP/1.1, on h11."""
