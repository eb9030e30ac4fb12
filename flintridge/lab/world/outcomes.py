"""How a request at a server can end."""

from enum import StrEnum


class Outcome(StrEnum):
    """What a server makes of a request; the values are those of `flintridge.lab.records.AttemptServed`."""

    VALUE = "value"
    RECEIPT = "receipt"
    MISS = "miss"
    BUSY = "busy"
    ERROR = "error"
