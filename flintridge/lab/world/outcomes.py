"""Outcomes of a request at a server."""

from enum import StrEnum


class Outcome(StrEnum):
    """How a server ends a request; the values are those of `flintridge.lab.records.AttemptServed`."""

    VALUE = "value"
    RECEIPT = "receipt"
    MISS = "miss"
    BUSY = "busy"
    ERROR = "error"
