"""Limits and lexical elements of the memcache protocol that both directions share."""

CRLF = b"\r\n"
MAX_LINE_BYTES = 2048
MAX_KEY_BYTES = 250
MAX_RECEIPT_BYTES = 1024  # leaves room in the response line for the request's id


def is_token(text: bytes) -> bool:
    """Whether `text` is printable ASCII without spaces, so that it can be a token of a line."""
    return text.isascii() and all(33 <= byte < 127 for byte in text)


def is_receipt(text: bytes) -> bool:
    """Whether `text` can be forwarded as the receipt of a write."""
    return 0 < len(text) <= MAX_RECEIPT_BYTES and is_token(text)
