"""The base class of the errors that flintridge defines."""


class FlintridgeError(Exception):
    """Base class of flintridge's errors. Subclasses also derive from the closest built-in exception."""
