"""Models, without I/O, of the machines that nodes talk to, and thin drivers that run them on a fabric."""
