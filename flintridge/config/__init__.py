"""Configuration of a node: reading its file, validating it, and what the node is started with.

`loader` reads the file. The platform's JSON needs `platform_config` and `platform_settings` alone. The node's
own format (`model`) and `flintridge check` need the other modules, which import msgspec: a node that is
started by the platform's JSON must not import them. `faults.decode` serves any format made of msgspec
structs, the lab's scenarios too.
"""
