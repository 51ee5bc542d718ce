"""Reads settings files and finds everything that is wrong with one."""

import dataclasses
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import json5
import msgspec

from verbenagrade.exceptions import SettingsError

__all__ = ["load_settings", "settings_faults"]

Settings = TypeVar("Settings")


def load_settings(path: Path, settings_type: type[Settings]) -> Settings:
    """Reads a settings file.

    Raises ``SettingsError`` whose message has a line for each fault.
    """
    values = _read(path)
    faults = settings_faults(values, settings_type)
    if faults:
        raise SettingsError("\n".join(faults))
    return msgspec.convert(values, settings_type)


def settings_faults(values: Any, settings_type: type) -> tuple[str, ...]:
    """Returns a line for each fault: the key, the value and the remedy.

    >>> from verbenagrade.settings import PlatformSettings
    >>> for fault in settings_faults({"table_url": 7}, PlatformSettings):
    ...     print(fault)
    table_url: 7 is not accepted; Expected `str`, got `int`
    objects_url: missing; add it: Base URL of the object store.
    vm_list_url: missing; add it: Base URL of the VM list.
    """
    return tuple(_faults("", values, settings_type))


def _read(path: Path) -> Any:
    try:
        return json5.loads(path.read_text())
    except OSError as error:
        raise SettingsError(
            f"{path}: {error.strerror}; name a readable file"
        ) from error
    except ValueError as error:
        raise SettingsError(f"{path}: not JSON with comments: {error}") from error


def _faults(prefix: str, values: Any, settings_type: type) -> Iterator[str]:
    if not isinstance(values, dict):
        yield f"{prefix or 'file'}: {values!r} is not accepted; write an object"
        return
    hints = get_type_hints(settings_type, include_extras=True)
    for name in values:
        if name not in hints:
            known = ", ".join(sorted(hints))
            yield f"{prefix}{name}: not a setting; remove it, or use one of {known}"
    for field in dataclasses.fields(settings_type):
        hint = hints[field.name]
        if field.name not in values:
            yield from _missing(prefix, field, hint)
        elif dataclasses.is_dataclass(hint):
            yield from _faults(f"{prefix}{field.name}.", values[field.name], hint)
        else:
            yield from _value_faults(prefix + field.name, values[field.name], hint)


def _missing(prefix: str, field: dataclasses.Field, hint: Any) -> Iterator[str]:
    has_default = field.default is not dataclasses.MISSING
    if has_default or field.default_factory is not dataclasses.MISSING:
        return
    yield f"{prefix}{field.name}: missing; add it: {_description(hint)}"


def _value_faults(key: str, value: Any, hint: Any) -> Iterator[str]:
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        yield f"{key}: {value!r} is not accepted; {error}"


def _description(hint: Any) -> str:
    for meta in getattr(hint, "__metadata__", ()):
        if getattr(meta, "description", None):
            return meta.description
    return f"an object of {getattr(hint, '__name__', hint)}"
