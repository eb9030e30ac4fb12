"""Decoding of a file into a struct, with all of its faults reported at once, a line each."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, TypeVar, cast

import msgspec

from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError, all_valid, fault_at
from flintridge.config.syntax import ConfigSyntaxError, parse
from flintridge.config.type_validation import TypeValidator, type_info

T = TypeVar("T")
CrossFieldValidation = Callable[[Any], Iterable[ConfigFault]]


def decode(file: str, text: bytes, target: type[T], validate_fields: CrossFieldValidation | None = None) -> T:
    """Decode the text of a file.

    Args:
        file: Its name, for faults; the suffix `.json` stands for JSON, any other for TOML.
        text: The file's bytes.
        target: The type to decode into.
        validate_fields: Looks for values that cannot stand together. It is called with the struct even where
            some values are not valid: these are `UNSET`, see `all_valid`.

    Raises:
        ConfigFaultsError: The file has faults.
    """
    try:
        values = parse(file, text)
    except ConfigSyntaxError as error:
        raise syntax_fault(file, error) from error
    return decode_values(file, values, target, validate_fields)


def decode_values(
    file: str, values: Any, target: type[T], validate_fields: CrossFieldValidation | None = None
) -> T:
    """Decode what has been parsed already; as `decode`.

    Raises:
        ConfigFaultsError: The values have faults.
    """
    validator = TypeValidator()
    # Of all values that are valid, also where others are not.
    partial = validator.validate(type_info(cast(Any, target)), values, "")
    faults = validator.faults
    decoded: T | None = None
    if not faults:
        try:
            decoded = partial = msgspec.convert(values, target)
        except msgspec.ValidationError as error:  # guards against a kind of type that the validator lacks
            faults = [fault_at("", UNSET, str(error))]
    if validate_fields is not None and all_valid(partial):
        faults = [*faults, *validate_fields(partial)]
    if faults or decoded is None:
        raise ConfigFaultsError([replace(fault, file=file) for fault in faults])
    return decoded


def syntax_fault(file: str, error: ConfigSyntaxError) -> ConfigFaultsError:
    """The error for a file whose text cannot be parsed."""
    return ConfigFaultsError([ConfigFault(file, error.position, UNSET, error.reason)])
