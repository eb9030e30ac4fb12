"""Configuration of a node: loading its file, validating it, and what the node is started with.

A node that is started by the platform's JSON imports `loader`, `platform_config`, `platform_settings`,
`node_config`, `address` and `errors` alone. The other modules import msgspec: they read and validate the
node's own format (`model`), and both formats for `flintridge check`. `decoding` serves any format made of
msgspec structs, the lab's scenarios too.
"""
