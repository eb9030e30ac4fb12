"""Errors of a configuration."""


class ConfigError(ValueError):
    """A configuration that no node can be started with; its text is one line for the operator."""
