"""The platform's filling of a settings template."""

import json
import re
from typing import Any

__all__ = ["fill"]

_SECTION = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([^#^/}][^}]*)\}\}")


def _look_up(name: str, scopes: list[Any]) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
        if value is not None:
            return value
    return None


def _show(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(_show, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def _fill_section(match: re.Match[str], scopes: list[Any]) -> str:
    sign, name, inner = match.groups()
    value = _look_up(name.strip(), scopes)
    if sign == "^":
        return "" if value else _fill(inner, scopes)
    if not value:
        return ""
    if not isinstance(value, list):
        return _fill(inner, [*scopes, value] if isinstance(value, dict) else scopes)
    parts = []
    for number, item in enumerate(value):
        comma = "" if number == len(value) - 1 else ","
        parts.append(_fill(inner.replace("{{,}}", comma), [*scopes, item]))
    return "".join(parts)


def _fill(text: str, scopes: list[Any]) -> str:
    text = _SECTION.sub(lambda match: _fill_section(match, scopes), text)
    return _VALUE.sub(lambda match: _show(_look_up(match[1].strip(), scopes)), text)


def fill(text: str, fields: dict[str, Any]) -> str:
    """Return a template filled in with the fields of a process."""
    return _fill(text, [fields])
