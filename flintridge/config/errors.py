"""Errors of a node's configuration."""

from flintridge.errors import FlintridgeError


class ConfigError(FlintridgeError, ValueError):
    """A configuration that no node can be started with; its text has a line for each fault."""


class AddressError(FlintridgeError, ValueError):
    """A text that is not a numeric address with a port."""
