"""The error of all codecs: what a peer sent cannot be read."""

from flintridge.errors import FlintridgeError


class MalformedError(FlintridgeError, ValueError):
    """What a peer sent breaks its protocol, or a limit of ours."""
