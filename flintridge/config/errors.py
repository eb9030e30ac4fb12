"""Errors of a node's configuration."""

from flintridge.errors import FlintridgeError


class ConfigError(FlintridgeError, ValueError):
    """A node cannot be started with the configuration; the message has one line for each fault."""


class AddressError(FlintridgeError, ValueError):
    """A text that is not a numeric address with a port."""
