"""Parser that turns the tokens and the value of an `mg` or `ms` command into a request."""

import re

from flintridge.api import Settings
from flintridge.codec.errors import MalformedError
from flintridge.codec.memcache.syntax import MAX_KEY_BYTES, is_token
from flintridge.core.request import Request

# Plain ASCII numbers only: float() would also accept underscores and `nan`.
NUMBER = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")
NUMBER_LIMIT = 1e15
FLAGS = (b"v", b"O", b"P")
NUMERIC_OPTIONS = (b"d", b"h", b"size")


def parse_number(text: bytes) -> float:
    """Parse a finite, non-negative number.

    Raises:
        MalformedError: `text` is not such a number, or the number is too large.
    """
    if not NUMBER.fullmatch(text):
        raise MalformedError("bad number")
    number = float(text)
    if number >= NUMBER_LIMIT:
        raise MalformedError("bad number")
    return number


class RequestParser:
    """Parses requests, and resolves their request classes and tenants by the settings."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def parse(self, tokens: list[bytes], value: bytes | bytearray | None) -> Request:
        """Parse the request of one command.

        Args:
            tokens: The tokens of the command line, without the length of the value.
            value: The value that an `ms` command stores; None for an `mg` command.

        Raises:
            MalformedError: A token is invalid; the message is sent to the client.
        """
        if len(tokens) < 2 or not 0 < len(tokens[1]) <= MAX_KEY_BYTES or not is_token(tokens[1]):
            raise MalformedError("bad key")
        flags: dict[bytes, bytes] = {}
        for token in tokens[2:]:
            flag = token[:1]
            if flag not in FLAGS or flag in flags or not is_token(token):
                raise MalformedError("bad flag")
            flags[flag] = token[1:]
        if not flags.get(b"O"):
            raise MalformedError("no id")
        if (b"v" in flags) != (value is None) or flags.get(b"v"):
            raise MalformedError("bad flag")
        return self._parse_options(tokens[1], flags[b"O"], flags.get(b"P", b""), value)

    def _parse_options(
        self, key: bytes, request_id: bytes, options: bytes, value: bytes | bytearray | None
    ) -> Request:
        values: dict[bytes, bytes] = {}
        timeout_span = None
        position = 0
        for pair in options.split(b",") if options else ():
            name, separator, text = pair.partition(b"=")
            if not separator or not name or name in values:
                raise MalformedError("bad list of names and values")
            values[name] = text
            if name == b"d":
                timeout_span = position + 2, position + len(pair)
            position += len(pair) + 1
        numbers = {name: parse_number(values[name]) for name in NUMERIC_OPTIONS if name in values}
        class_index = self._classes.get(values[b"c"]) if b"c" in values else 0
        tenant = self._tenants.get(values[b"t"]) if b"t" in values and self._tenants else 0
        if class_index is None:
            raise MalformedError("unknown class")
        if tenant is None:
            raise MalformedError("unknown tenant")
        return Request(
            request_id,
            key,
            options,
            timeout_span,
            value,
            timeout_ms=numbers.get(b"d"),
            class_index=class_index,
            tenant=tenant,
            retry=values.get(b"r") == b"1",
            work_us=numbers.get(b"h"),
            size=numbers.get(b"size"),
        )
