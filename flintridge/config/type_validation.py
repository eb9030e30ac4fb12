"""Validation of plain values against a type; each field is validated separately, so all faults are found."""

import functools
import math
import operator
import re
from typing import Any, TypeAlias

from msgspec import inspect

from flintridge.config import units
from flintridge.config.descriptions import (
    describe_allowed,
    describe_bounds,
    describe_choice,
    describe_length,
    format_value,
)
from flintridge.config.faults import UNSET, ConfigFault, fault_at

NumberInfo: TypeAlias = inspect.FloatType | inspect.IntType
ListInfo: TypeAlias = inspect.ListType | inspect.VarTupleType

BARE_NAME = re.compile(r"[A-Za-z0-9_-]+")
# Python types of values, and the msgspec types that accept them. `bool` is first because it is a subclass of
# `int`.
ACCEPTED_BY: tuple[tuple[type | tuple[type, ...], tuple[type, ...]], ...] = (
    (bool, (inspect.BoolType,)),
    (int, (inspect.IntType, inspect.FloatType)),
    (float, (inspect.FloatType,)),
    (str, (inspect.StrType,)),
    (type(None), (inspect.NoneType,)),
    (dict, (inspect.StructType, inspect.DictType)),
    ((list, tuple), (inspect.ListType, inspect.VarTupleType, inspect.TupleType)),
)
CHECKED_TYPES = tuple(info for _, infos in ACCEPTED_BY for info in infos)


@functools.cache
def type_info(target: Any) -> inspect.Type:
    """Return msgspec's description of a type; cached because creating it takes longer than a validation."""
    return inspect.type_info(target)


def joined_path(path: str, name: str) -> str:
    """Return the path of an entry of the table at `path`; a name that could be read as a path is quoted."""
    if not BARE_NAME.fullmatch(name):
        name = repr(name)
    return f"{path}.{name}" if path else name


class TypeValidator:
    """Validates values against msgspec types and collects the faults.

    Attributes:
        faults: All faults found so far, without the file's name.
    """

    def __init__(self) -> None:
        self.faults: list[ConfigFault] = []

    def validate(self, info: inspect.Type, value: Any, path: str) -> Any:
        """Validate a value.

        Args:
            info: The type that the value must have.
            value: A plain value, as parsed from JSON or TOML.
            path: The path of the value in the file.

        Returns:
            The value, in which tables are structs and nothing else is converted; UNSET if it is not valid.
        """
        if isinstance(info, inspect.Metadata):
            return self.validate(info.type, value, path)
        if isinstance(info, inspect.UnionType):
            return self._validate_union(info, value, path)
        if isinstance(info, inspect.LiteralType):
            fits = any(value == literal and type(value) is type(literal) for literal in info.values)
            return value if fits else self._report_mismatch(info, value, path)
        if isinstance(info, inspect.EnumType):
            member = next((member for member in info.cls if value == member.value), None)
            return self._report_mismatch(info, value, path) if member is None else member
        if isinstance(info, CHECKED_TYPES) and not _accepts(info, value):
            return self._report_mismatch(info, value, path)
        return self._validate_content(info, value, path)

    def _validate_content(self, info: inspect.Type, value: Any, path: str) -> Any:
        """Validate a value that is of the right Python type."""
        match info:
            case inspect.StructType():
                return self._validate_struct(info, value, path)
            case inspect.DictType():
                return {
                    name: self.validate(info.value_type, item, joined_path(path, name))
                    for name, item in value.items()
                }
            case inspect.TupleType():
                return self._validate_tuple(info, value, path)
            case inspect.ListType() | inspect.VarTupleType():
                return self._validate_list(info, value, path)
            case inspect.FloatType() | inspect.IntType():
                return self._validate_number(info, value, path)
            case inspect.StrType():
                return self._validate_text(info, value, path)
        return value  # a type that only msgspec validates

    def _report(self, path: str, value: Any, reason: str, allowed: str) -> Any:
        self.faults.append(fault_at(path, value, reason, allowed))
        return UNSET

    def _report_mismatch(self, info: inspect.Type, value: Any, path: str) -> Any:
        allowed = describe_allowed(info)
        reason = f"must be {allowed}"
        if isinstance(value, str):
            name = path.rsplit(".", 1)[-1]
            if amount := units.amount_in_unit(name, value):
                reason += f": write {amount}, the unit is part of the name"
        return self._report(path, value, reason, allowed)

    def _validate_number(self, info: NumberInfo, value: Any, path: str) -> Any:
        if isinstance(value, float) and not math.isfinite(value):
            return self._report_mismatch(info, value, path)
        if not _within_bounds(info, value):
            return self._report(path, value, f"must be {describe_bounds(info)}", describe_allowed(info))
        if isinstance(info, inspect.IntType):
            return value
        try:
            return float(value)
        except OverflowError:
            return self._report(path, value, "the number is too large", describe_allowed(info))

    def _validate_text(self, info: inspect.StrType, value: str, path: str) -> Any:
        try:
            value.encode()
        except UnicodeEncodeError:  # an unpaired surrogate: JSON can contain it, but it cannot be printed
            return self._report(path, value, "contains an unpaired surrogate", describe_allowed(info))
        matches = info.pattern is None or re.search(info.pattern, value)
        if matches and _fits_length(info, value):
            return value
        allowed = describe_allowed(info)
        return self._report(path, value, f"must be {allowed}", allowed)

    def _validate_tuple(self, info: inspect.TupleType, value: list[Any], path: str) -> Any:
        if len(value) != len(info.item_types):
            return self._report_mismatch(info, value, path)
        return tuple(
            self.validate(item_type, item, f"{path}[{i}]")
            for i, (item_type, item) in enumerate(zip(info.item_types, value, strict=True))
        )

    def _validate_list(self, info: ListInfo, value: list[Any], path: str) -> Any:
        if not _fits_length(info, value):
            reason = f"must be a list of {describe_length(info, 'values')}, not {len(value)}"
            return self._report(path, value, reason, describe_allowed(info))
        items = [self.validate(info.item_type, item, f"{path}[{i}]") for i, item in enumerate(value)]
        return items if isinstance(info, inspect.ListType) else tuple(items)

    def _validate_struct(self, info: inspect.StructType, value: dict[str, Any], path: str) -> Any:
        if info.array_like:
            return value
        self._validate_names(info, value, path)
        built = {}
        for field in info.fields:
            field_path = joined_path(path, field.encode_name)
            if field.encode_name in value:
                built[field.name] = self.validate(field.type, value[field.encode_name], field_path)
            elif field.required:
                allowed = describe_allowed(field.type)
                reason = f"is missing: it must be {allowed}"
                built[field.name] = self._report(field_path, UNSET, reason, allowed)
        return info.cls(**built)

    def _validate_names(self, info: inspect.StructType, value: dict[str, Any], path: str) -> None:
        """Report a wrong tag, and unknown names if the struct forbids them."""
        names = [field.encode_name for field in info.fields]
        if info.tag_field is not None:
            names.insert(0, info.tag_field)
            tag = value.get(info.tag_field, info.tag)
            if tag != info.tag:
                tag_path = joined_path(path, info.tag_field)
                self._report(tag_path, tag, f"must be {info.tag!r}", format_value(info.tag))
        if not info.forbid_unknown_fields:
            return
        for name, item in value.items():
            if name not in names:
                reason = units.unknown_name_reason(name, names)
                self._report(joined_path(path, name), item, reason, ", ".join(names))

    def _validate_union(self, info: inspect.UnionType, value: Any, path: str) -> Any:
        accepting = [member for member in info.types if _accepts(member, value)]
        tagged = [
            member
            for member in accepting
            if isinstance(member, inspect.StructType) and member.tag_field is not None
        ]
        if tagged:
            return self._validate_tagged(tagged, value, path)
        if not accepting:
            return self._report_mismatch(info, value, path)
        if len(accepting) == 1:  # such as an optional table: its valid values are kept
            return self.validate(accepting[0], value, path)
        return self._validate_alternatives(accepting, value, path)

    def _validate_alternatives(self, alternatives: list[inspect.Type], value: Any, path: str) -> Any:
        """Return the value as the first type that accepts it, or report the faults of the closest type.

        The closest type is the one with the fewest faults.
        """
        trials = []
        for alternative in alternatives:
            trial = TypeValidator()
            built = trial.validate(alternative, value, path)
            if not trial.faults:
                return built
            trials.append(trial)
        self.faults += min(trials, key=lambda trial: len(trial.faults)).faults
        return UNSET

    def _validate_tagged(self, structs: list[inspect.StructType], value: dict[str, Any], path: str) -> Any:
        tag_field = str(structs[0].tag_field)
        tags = [struct.tag for struct in structs]
        tag_path = joined_path(path, tag_field)
        allowed = describe_choice(tags)
        if tag_field not in value:
            return self._report(tag_path, UNSET, f"is missing: it must be {allowed}", allowed)
        tag = value[tag_field]
        for struct in structs:
            if struct.tag == tag and type(struct.tag) is type(tag):
                return self._validate_struct(struct, value, path)
        reason = f"must be {allowed}"
        if isinstance(tag, str) and (closest := units.closest_name(tag, [str(known) for known in tags])):
            reason = f"unknown: did you mean {closest}? It must be {allowed}"
        return self._report(tag_path, tag, reason, allowed)


def _fits_length(info: inspect.StrType | ListInfo, value: str | list[Any]) -> bool:
    if info.max_length is not None and len(value) > info.max_length:
        return False
    return len(value) >= (info.min_length or 0)


def _within_bounds(info: NumberInfo, value: int | float) -> bool:
    limits = ((info.gt, operator.gt), (info.ge, operator.ge), (info.lt, operator.lt), (info.le, operator.le))
    if not all(limit is None or satisfies(value, limit) for limit, satisfies in limits):
        return False
    return info.multiple_of is None or value % info.multiple_of == 0


def _accepts(info: inspect.Type, value: Any) -> bool:
    """Whether a msgspec type accepts the Python type of a value, regardless of the value's content."""
    if isinstance(info, inspect.Metadata):
        return _accepts(info.type, value)
    if isinstance(info, inspect.LiteralType):
        return any(type(value) is type(literal) for literal in info.values)
    if isinstance(info, inspect.EnumType):
        return any(type(value) is type(member.value) for member in info.cls)
    if isinstance(info, CHECKED_TYPES):
        accepting = next((infos for types, infos in ACCEPTED_BY if isinstance(value, types)), ())
        return isinstance(info, accepting)
    return True
