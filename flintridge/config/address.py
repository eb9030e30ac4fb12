"""Numeric addresses with a port, as configurations name them."""

import ipaddress
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int

    @classmethod
    def parse(cls, text: Any) -> "Address":
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        try:
            ipaddress.ip_address(host.strip("[]"))  # names cannot be resolved where nodes run
            if not port.isdecimal() or not 0 <= int(port) < 65536:
                raise ValueError("no port")
        except ValueError as error:
            allowed = "a numeric address with a port, as 10.0.0.4:11211"
            raise ValueError(f"{text!r} must be {allowed}") from error
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def optional_address(text: Any) -> Address | None:
    """None where nothing is said. Raises ValueError."""
    return None if text is None or text == "" else Address.parse(text)
