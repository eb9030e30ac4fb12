"""The decision policy of a node: server selection, retries and rejections."""
