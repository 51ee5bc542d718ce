"""Reads and validates settings files."""

import dataclasses
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import json5
import msgspec

from verbenagrade.exceptions import SettingsError

__all__ = ["find_settings_errors", "load_settings"]

Settings = TypeVar("Settings")


def load_settings(path: Path, settings_type: type[Settings]) -> Settings:
    """Reads and validates a settings file.

    Raises ``SettingsError``, whose message has one line for each error in the file.
    """
    values = _read(path)
    errors = find_settings_errors(values, settings_type)
    if errors:
        raise SettingsError("\n".join(errors))
    return msgspec.convert(values, settings_type)


def find_settings_errors(values: Any, settings_type: type) -> tuple[str, ...]:
    """Returns one line for each error: the key, the value and the remedy.

    >>> from verbenagrade.settings import PlatformSettings
    >>> for line in find_settings_errors({"table_url": 7}, PlatformSettings):
    ...     print(line)
    table_url: 7 is invalid: Expected `str`, got `int`
    objects_url: missing; add this setting: Base URL of the object store.
    vm_list_url: missing; add this setting: Base URL of the VM list.
    """
    return tuple(_object_errors("", values, settings_type))


def _read(path: Path) -> Any:
    try:
        return json5.loads(path.read_text())
    except OSError as error:
        raise SettingsError(
            f"{path}: {error.strerror}; specify a readable file"
        ) from error
    except ValueError as error:
        raise SettingsError(f"{path}: invalid JSON with comments: {error}") from error


def _object_errors(prefix: str, values: Any, settings_type: type) -> Iterator[str]:
    if not isinstance(values, dict):
        yield f"{prefix or 'file'}: {values!r} is invalid: expected an object"
        return
    hints = get_type_hints(settings_type, include_extras=True)
    for name in values:
        if name not in hints:
            known = ", ".join(sorted(hints))
            yield f"{prefix}{name}: unknown setting; remove it or use one of {known}"
    for field in dataclasses.fields(settings_type):
        hint = hints[field.name]
        if field.name not in values:
            yield from _missing_error(prefix, field, hint)
        elif dataclasses.is_dataclass(hint):
            yield from _object_errors(
                f"{prefix}{field.name}.", values[field.name], hint
            )
        else:
            yield from _value_errors(prefix + field.name, values[field.name], hint)


def _missing_error(prefix: str, field: dataclasses.Field, hint: Any) -> Iterator[str]:
    has_default = field.default is not dataclasses.MISSING
    if has_default or field.default_factory is not dataclasses.MISSING:
        return
    yield f"{prefix}{field.name}: missing; add this setting: {_description(hint)}"


def _value_errors(key: str, value: Any, hint: Any) -> Iterator[str]:
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        yield f"{key}: {value!r} is invalid: {error}"


def _description(hint: Any) -> str:
    for meta in getattr(hint, "__metadata__", ()):
        if getattr(meta, "description", None):
            return meta.description
    return f"an object of {getattr(hint, '__name__', hint)}"
