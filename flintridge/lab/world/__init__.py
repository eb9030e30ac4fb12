"""Models of the machines round the nodes, free of I/O, and the thin drivers that put them on a fabric."""
