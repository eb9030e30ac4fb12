"""The base of all errors that flintridge raises by itself."""


class FlintridgeError(Exception):
    """Base class; subclasses also derive from the built-in error of which they are a kind."""
