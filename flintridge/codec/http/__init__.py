"""HTTP/1.1 as a client, over h11."""
