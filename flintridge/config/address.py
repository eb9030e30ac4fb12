"""Numeric IP addresses with a port, as configuration files contain them."""

import ipaddress
from dataclasses import dataclass

from flintridge.config.errors import AddressError

ADDRESS_FORMAT = "a numeric address with a port, as 10.0.0.4:11211"
PORT_MAX = 65_535


@dataclass(slots=True, frozen=True)
class Address:
    """The IP address and port that a node listens on or connects to.

    Attributes:
        host: A numeric IPv4 or IPv6 address, without brackets.
        port: 0 to 65535; 0 lets the kernel choose a port to listen on.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: object) -> "Address":
        """Parse a text such as `10.0.0.4:11211` or `[::1]:11211`.

        Args:
            text: A value from a configuration or the environment, of any type.

        Raises:
            AddressError: `text` is not a numeric address with a port.
        """
        try:
            if not isinstance(text, str):
                raise ValueError("not a string")
            host, _, port_text = text.rpartition(":")
            host = host.strip("[]")
            ipaddress.ip_address(host)  # host names are rejected: they cannot be resolved where nodes run
            if not port_text.isdecimal() or int(port_text) > PORT_MAX:
                raise ValueError("no port from 0 to 65535")
        except ValueError as error:
            raise AddressError(f"{text!r} must be {ADDRESS_FORMAT}") from error
        return cls(host, int(port_text))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def optional_address(text: object) -> Address | None:
    """Parse an address that may be omitted.

    Returns:
        The address, or None if the text is missing or empty.

    Raises:
        AddressError: `text` is not a numeric address with a port.
    """
    if text is None or text == "":
        return None
    return Address.parse(text)
