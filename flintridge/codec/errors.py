"""The error that all codecs raise for malformed input."""

from flintridge.errors import FlintridgeError


class MalformedError(FlintridgeError, ValueError):
    """Input from a peer violates its protocol, or a limit of this implementation."""
