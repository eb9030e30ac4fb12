"""Decoding of a file into a struct. All faults of the file are reported together, one line each."""

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
        file: The file's name, for the messages. The suffix `.json` selects JSON, any other one TOML.
        text: The file's bytes.
        target: The type to decode into.
        validate_fields: Reports values that conflict with each other. It is also called if some values are
            invalid: these are `UNSET` in the struct, see `all_valid`.

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
    """Decode values that are already parsed; the arguments are as for `decode`.

    Raises:
        ConfigFaultsError: The values have faults.
    """
    validator = TypeValidator()
    # Built from the valid values, even if others are invalid.
    partial = validator.validate(type_info(cast(Any, target)), values, "")
    faults = validator.faults
    decoded: T | None = None
    if not faults:
        try:
            decoded = partial = msgspec.convert(values, target)
        except msgspec.ValidationError as error:  # guards against a type that `TypeValidator` does not check
            faults = [fault_at("", UNSET, str(error))]
    if validate_fields is not None and all_valid(partial):
        faults = [*faults, *validate_fields(partial)]
    if faults or decoded is None:
        raise ConfigFaultsError([replace(fault, file=file) for fault in faults])
    return decoded


def syntax_fault(file: str, error: ConfigSyntaxError) -> ConfigFaultsError:
    """Return the error for a file whose text cannot be parsed."""
    return ConfigFaultsError([ConfigFault(file, error.position, UNSET, error.reason)])
