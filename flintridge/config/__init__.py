"""Configuration of a node: loading and validating its file, and the resulting `NodeConfig`.

A node that is started with the platform's JSON imports only `loader`, `platform_config`,
`platform_settings`, `node_config`, `address` and `errors`. The other modules import msgspec: they read and
validate the node's own format (`model`), and both formats for `flintridge check`. `decoding` works for any
format that is made of msgspec structs, including the lab's scenarios.
"""
