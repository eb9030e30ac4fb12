"""Checks plain values against a type, each field on its own, so that one fault hides no other."""

import functools
import math
import operator
import re
from typing import Any

from msgspec import inspect

from flintridge.config import units
from flintridge.config.words import NOTHING, bounds, choice, described, length, shown

BARE = re.compile(r"[A-Za-z0-9_-]+")
KINDS: tuple[tuple[type | tuple[type, ...], tuple[type, ...]], ...] = (
    # Kinds of values, and the types that may take them; `bool` first as it is an `int` to Python.
    (bool, (inspect.BoolType,)),
    (int, (inspect.IntType, inspect.FloatType)),
    (float, (inspect.FloatType,)),
    (str, (inspect.StrType,)),
    (type(None), (inspect.NoneType,)),
    (dict, (inspect.StructType, inspect.DictType)),
    ((list, tuple), (inspect.ListType, inspect.VarTupleType, inspect.TupleType)),
)
CHECKED = tuple(kind for _, kinds in KINDS for kind in kinds)


@functools.cache
def type_info(kind: Any) -> inspect.Type:
    """What `kind` is made of; kept, as looking it up takes longer than to check a file."""
    return inspect.type_info(kind)


def joined(path: str, name: str) -> str:
    """A path one name further in; names that could be mistaken for something else are quoted."""
    name = name if BARE.fullmatch(name) else repr(name)
    return f"{path}.{name}" if path else name


class Walk:
    """`found` has what is wrong: path, value, reason and what is allowed."""

    def __init__(self) -> None:
        self.found: list[tuple[str, Any, str, str]] = []

    def take(self, info: inspect.Type, value: Any, path: str) -> Any:
        """The value as `info` has it, not converted by more than its structs; NOTHING where it is wrong."""
        match info:
            case inspect.Metadata():
                return self.take(info.type, value, path)
            case inspect.UnionType():
                return self._union(info, value, path)
            case inspect.LiteralType():
                fits = any(value == one and type(value) is type(one) for one in info.values)
                return value if fits else self._wrong(info, value, path)
            case inspect.EnumType():
                member = next((one for one in info.cls if value == one.value), None)
                return self._wrong(info, value, path) if member is None else member
            case _ if isinstance(info, CHECKED) and not _is_kind(info, value):
                return self._wrong(info, value, path)
            case inspect.StructType():
                return self._struct(info, value, path)
            case inspect.DictType():
                return {key: self.take(info.value_type, one, joined(path, key)) for key, one in value.items()}
            case inspect.ListType() | inspect.VarTupleType() | inspect.TupleType():
                return self._list(info, value, path)
            case inspect.FloatType() | inspect.IntType():
                return self._number(info, value, path)
            case inspect.StrType():
                return self._text(info, value, path)
        return value  # of a kind that the last word of msgspec is for

    def _say(self, path: str, value: Any, reason: str, allowed: str) -> Any:
        self.found.append((path, value, reason, allowed))
        return NOTHING

    def _wrong(self, info: inspect.Type, value: Any, path: str) -> Any:
        allowed = described(info)
        reason = f"must be {allowed}"
        name = path.rsplit(".", 1)[-1]
        if isinstance(value, str) and (amount := units.in_unit(name, value)):
            reason += f": write {amount}, the unit is in the name"
        return self._say(path, value, reason, allowed)

    def _number(self, info: inspect.FloatType | inspect.IntType, value: Any, path: str) -> Any:
        if isinstance(value, float) and not math.isfinite(value):
            return self._wrong(info, value, path)
        if not _within(info, value):
            return self._say(path, value, f"must be {bounds(info)}", described(info))
        try:
            return value if isinstance(info, inspect.IntType) else float(value)
        except OverflowError:
            return self._say(path, value, "too large a number", described(info))

    def _text(self, info: inspect.StrType, value: str, path: str) -> Any:
        try:
            value.encode()
        except UnicodeEncodeError:  # half of a character that JSON can name: no line with it can be printed
            return self._say(path, value, "holds half a character", described(info))
        size = len(value)
        fits = (info.min_length or 0) <= size and (info.max_length is None or size <= info.max_length)
        if fits and (info.pattern is None or re.search(info.pattern, value)):
            return value
        return self._say(path, value, f"must be {described(info)}", described(info))

    def _list(self, info: Any, value: list[Any], path: str) -> Any:
        if isinstance(info, inspect.TupleType):
            if len(value) != len(info.item_types):
                return self._wrong(info, value, path)
            kinds = list(info.item_types)
        else:
            most = math.inf if info.max_length is None else info.max_length
            if not (info.min_length or 0) <= len(value) <= most:
                reason = f"must be a list of {length(info, 'values')}, not {len(value)}"
                return self._say(path, value, reason, described(info))
            kinds = [info.item_type] * len(value)
        items = [self.take(kinds[i], one, f"{path}[{i}]") for i, one in enumerate(value)]
        return items if isinstance(info, inspect.ListType) else tuple(items)

    def _struct(self, info: inspect.StructType, value: dict[str, Any], path: str) -> Any:
        if info.array_like:
            return value
        names = [field.encode_name for field in info.fields]
        if info.tag_field is not None:
            names.insert(0, info.tag_field)
            if (tag := value.get(info.tag_field, info.tag)) != info.tag:
                self._say(joined(path, info.tag_field), tag, f"must be {info.tag!r}", shown(info.tag))
        for name in value:
            if name not in names and info.forbid_unknown_fields:
                reason = units.unknown(name, names)
                self._say(joined(path, name), value[name], reason, ", ".join(names))
        built = {}
        for field in info.fields:
            place = joined(path, field.encode_name)
            if field.encode_name in value:
                built[field.name] = self.take(field.type, value[field.encode_name], place)
            elif field.required:
                allowed = described(field.type)
                built[field.name] = self._say(place, NOTHING, f"is missing: it must be {allowed}", allowed)
        return info.cls(**built)

    def _union(self, info: inspect.UnionType, value: Any, path: str) -> Any:
        fitting = [one for one in info.types if _is_kind(one, value)]
        tagged = [one for one in fitting if isinstance(one, inspect.StructType) and one.tag_field is not None]
        if tagged:
            return self._tagged(tagged, value, path)
        if len(fitting) == 1:  # as a table that may be left out: what is sound of it is kept
            return self.take(fitting[0], value, path)
        trials = []
        for one in fitting:
            trial = Walk()
            built = trial.take(one, value, path)
            if not trial.found:
                return built
            trials.append(trial)
        if not trials:
            return self._wrong(info, value, path)
        self.found += min(trials, key=lambda trial: len(trial.found)).found
        return NOTHING

    def _tagged(self, structs: list[inspect.StructType], value: dict[str, Any], path: str) -> Any:
        field = str(structs[0].tag_field)
        tags = [one.tag for one in structs]
        place, allowed = joined(path, field), choice(tags)
        if field not in value:
            return self._say(place, NOTHING, f"is missing: it must be {allowed}", allowed)
        tag = value[field]
        for one in structs:
            if one.tag == tag and type(one.tag) is type(tag):
                return self._struct(one, value, path)
        reason = f"must be {allowed}"
        if isinstance(tag, str) and (close := units.close(tag, [str(one) for one in tags])):
            reason = f"unknown: did you mean {close}? It must be {allowed}"
        return self._say(place, tag, reason, allowed)


def _within(info: inspect.FloatType | inspect.IntType, value: int | float) -> bool:
    limits = ((info.gt, operator.gt), (info.ge, operator.ge), (info.lt, operator.lt), (info.le, operator.le))
    if not all(limit is None or holds(value, limit) for limit, holds in limits):
        return False
    return info.multiple_of is None or value % info.multiple_of == 0


def _is_kind(info: inspect.Type, value: Any) -> bool:
    """Whether a value is of the kind that a type takes, whatever its size."""
    if isinstance(info, inspect.Metadata):
        return _is_kind(info.type, value)
    if isinstance(info, inspect.LiteralType):
        return any(type(value) is type(one) for one in info.values)
    if isinstance(info, inspect.EnumType):
        return any(type(value) is type(one.value) for one in info.cls)
    if isinstance(info, CHECKED):
        taking = next((kinds for kind, kinds in KINDS if isinstance(value, kind)), ())
        return isinstance(info, taking)
    return True
