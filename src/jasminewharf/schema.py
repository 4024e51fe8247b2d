"""Checked reading of YAML into ``NamedTuple`` types.

The schema is the type itself: field annotations give the allowed values, fields
without a default are required, and unknown fields are refused. Errors name file,
line, path and the allowed values. Aliases are refused, because a few of them
can expand a short file into a huge value; nesting and size are bounded for the
same reason.
"""

import types
from collections.abc import Callable
from typing import (
    Annotated,
    Any,
    Literal,
    NamedTuple,
    TypeVar,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from .exceptions import ConfigurationError

__all__ = ["Matches", "Range", "load_yaml"]

_T = TypeVar("_T")

_DOCUMENT_LIMIT_BYTES = 256 * 1024
# The pure-Python parser takes about 90 us on a busy core for each of these, so that
# a check ends within the 10 s that the operators' tool waits by default.
_MARKS = (",", ":", "[", "]", "{", "}", "- ", "? ", "\n")
_MARKS_LIMIT = 50_000
_DEPTH_LIMIT = 12
_INTEGER_TAG = "tag:yaml.org,2002:int"
_FLOAT_TAG = "tag:yaml.org,2002:float"
_BOOLEAN_TAG = "tag:yaml.org,2002:bool"
_NULL_TAG = "tag:yaml.org,2002:null"
_TRUE_WORDS = frozenset({"true", "True", "TRUE"})


class Range(NamedTuple):
    """Allowed values of a number, both ends included."""

    low: float
    high: float

    def check(self, value: Any) -> str:
        """Return what is allowed if ``value`` is not, else an empty string."""
        allowed = self.low <= value <= self.high
        return "" if allowed else f"must be {self.low:g} to {self.high:g}"


class Matches(NamedTuple):
    """Allowed form of a text; ``test`` tells and ``description`` explains it."""

    test: Callable[[str], object]
    description: str

    def check(self, value: Any) -> str:
        """Return what is allowed if ``value`` is not, else an empty string."""
        return "" if self.test(value) else f"must be {self.description}"


class _Reader:
    def __init__(self, file: str, error: type[ConfigurationError]) -> None:
        self._file = file
        self._error = error
        self._seen: set[int] = set()

    def fail(self, node: Node | None, path: str, reason: str) -> ConfigurationError:
        line = node.start_mark.line + 1 if node is not None else 0
        return self._error(self._file, line, path, reason)

    def read(self, node: Node, kind: Any, path: str, depth: int) -> Any:
        if depth > _DEPTH_LIMIT:
            raise self.fail(node, path, f"nested deeper than {_DEPTH_LIMIT} levels")
        if id(node) in self._seen:
            raise self.fail(node, path, "YAML aliases are not allowed")
        self._seen.add(id(node))
        return self._read_kind(node, kind, path, depth)

    def _read_kind(self, node: Node, kind: Any, path: str, depth: int) -> Any:
        origin = get_origin(kind)
        if origin is Annotated:
            return self._read_annotated(node, kind, path, depth)
        if origin is Literal:
            return self._read_choice(node, get_args(kind), path)
        if origin in (types.UnionType, Union):
            return self._read_optional(node, kind, path, depth)
        if origin is list:
            return self._read_list(node, get_args(kind)[0], path, depth)
        if origin is dict:
            return self._read_dict(node, get_args(kind)[1], path, depth)
        if isinstance(kind, type) and issubclass(kind, tuple):
            return self._read_record(node, kind, path, depth)
        return self._read_scalar(node, kind, path)

    def _read_annotated(self, node: Node, kind: Any, path: str, depth: int) -> Any:
        base, *checks = get_args(kind)
        value = self._read_kind(node, base, path, depth)
        for check in checks:
            reason = check.check(value)
            if reason:
                raise self.fail(node, path, reason)
        return value

    def _read_choice(self, node: Node, choices: tuple[Any, ...], path: str) -> Any:
        value = self._read_scalar(node, str, path)
        if value not in choices:
            allowed = ", ".join(str(choice) for choice in choices)
            raise self.fail(node, path, f"{value!r} is not one of: {allowed}")
        return value

    def _read_optional(self, node: Node, kind: Any, path: str, depth: int) -> Any:
        if node.tag == _NULL_TAG:
            return None
        inner = next(arg for arg in get_args(kind) if arg is not type(None))
        return self._read_kind(node, inner, path, depth)

    def _read_list(self, node: Node, item: Any, path: str, depth: int) -> list[Any]:
        if not isinstance(node, SequenceNode):
            raise self.fail(node, path, "must be a list")
        return [
            self.read(child, item, f"{path}[{position}]", depth + 1)
            for position, child in enumerate(node.value)
        ]

    def _read_dict(self, node: Node, item: Any, path: str, depth: int) -> dict:
        return {
            name: self.read(child, item, _join(path, name), depth + 1)
            for name, (_, child) in self._pairs(node, path).items()
        }

    def _read_record(self, node: Node, kind: Any, path: str, depth: int) -> Any:
        hints = get_type_hints(kind, include_extras=True)
        values = {}
        for name, (key, child) in self._pairs(node, path).items():
            if name not in hints:
                allowed = ", ".join(hints)
                raise self.fail(key, _join(path, name), f"unknown; allowed: {allowed}")
            values[name] = self.read(child, hints[name], _join(path, name), depth + 1)
        for name in hints:
            if name not in values and name not in kind._field_defaults:
                raise self.fail(node, _join(path, name), "is required")
        return kind(**values)

    def _pairs(self, node: Node, path: str) -> dict[str, tuple[Node, Node]]:
        if not isinstance(node, MappingNode):
            raise self.fail(node, path, "must be a mapping")
        pairs: dict[str, tuple[Node, Node]] = {}
        for key, child in node.value:
            if not isinstance(key, ScalarNode):
                raise self.fail(key, path, "keys must be plain text")
            if key.value in pairs:
                raise self.fail(key, _join(path, key.value), "given twice")
            pairs[key.value] = (key, child)
        return pairs

    def _read_scalar(self, node: Node, kind: Any, path: str) -> Any:
        if not isinstance(node, ScalarNode):
            raise self.fail(node, path, f"must be {_KIND_NAMES[kind]}")
        if kind is str and node.tag != _NULL_TAG:
            return node.value
        try:
            if kind is int and node.tag == _INTEGER_TAG:
                return int(node.value.replace("_", ""), 0)
            if kind is float and node.tag in (_INTEGER_TAG, _FLOAT_TAG):
                return float(node.value)
        except ValueError:
            raise self.fail(node, path, f"must be {_KIND_NAMES[kind]}") from None
        if kind is bool and node.tag == _BOOLEAN_TAG:
            return node.value in _TRUE_WORDS
        raise self.fail(node, path, f"must be {_KIND_NAMES[kind]}")


_KIND_NAMES = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def load_yaml(
    text: str, kind: type[_T], file: str, error: type[ConfigurationError]
) -> _T:
    """Return the YAML document ``text`` as a ``kind``.

    Args:
        text: The YAML text.
        kind: A ``NamedTuple`` type.
        file: The name that errors give.
        error: The type of error to raise.

    Raises:
        ConfigurationError: As ``error``, with file, line, path and reason.
    """
    reader = _Reader(file, error)
    if len(text.encode(errors="replace")) > _DOCUMENT_LIMIT_BYTES:
        raise reader.fail(None, "", f"longer than {_DOCUMENT_LIMIT_BYTES} bytes")
    if sum(text.count(mark) for mark in _MARKS) > _MARKS_LIMIT:
        raise reader.fail(None, "", f"more than {_MARKS_LIMIT} lines and separators")
    try:
        node = YAML(typ="safe", pure=True).compose(text)
    except YAMLError as problem:
        mark = getattr(problem, "problem_mark", None)
        line = mark.line + 1 if mark is not None else 0
        reason = str(getattr(problem, "problem", None) or "not valid YAML")
        raise error(file, line, "", reason) from problem
    except (RecursionError, ValueError) as problem:
        raise error(file, 0, "", "not valid YAML or nested too deeply") from problem
    if node is None:
        raise reader.fail(None, "", "is empty")
    return reader.read(node, kind, "", 0)
