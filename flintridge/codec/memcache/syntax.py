"""Limits and lexical elements of the memcache protocol that both directions share."""

CRLF = b"\r\n"
MAX_LINE_BYTES = 2048
MAX_KEY_BYTES = 250


def is_token(text: bytes) -> bool:
    """Whether `text` is printable ASCII without spaces, so that it can be a token of a line."""
    return text.isascii() and all(33 <= byte < 127 for byte in text)
