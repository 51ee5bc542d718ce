"""Writes the settings reference from the checked types."""

import dataclasses
from collections.abc import Iterator
from typing import Any, get_type_hints

import msgspec

from verbenagrade.settings.gateway import GatewaySettings
from verbenagrade.settings.types import ControlSettings, RouterSettings

__all__ = ["settings_reference"]

PROGRAMS = {
    "verbenagrade-router": RouterSettings,
    "verbenagrade-gateway": GatewaySettings,
    "verbenagrade-control": ControlSettings,
}


def settings_reference() -> str:
    """Returns the reference of all settings as a Markdown page."""
    lines = [
        "# Settings reference",
        "",
        "Made by `verbenagrade settings-reference`. Settings files are JSON with",
        "comments; `verbenagrade check-settings FILE` names all faults of one.",
    ]
    for program, settings_type in PROGRAMS.items():
        lines += ["", f"## {program}", ""]
        lines += ["| Key | Type | Default | Meaning |", "| --- | --- | --- | --- |"]
        lines += _rows("", settings_type)
    return "\n".join(lines) + "\n"


def _rows(prefix: str, settings_type: type) -> Iterator[str]:
    hints = get_type_hints(settings_type, include_extras=True)
    for field in dataclasses.fields(settings_type):
        hint = hints[field.name]
        if dataclasses.is_dataclass(hint):
            yield from _rows(f"{prefix}{field.name}.", hint)
            continue
        default = _default(field)
        yield (
            f"| `{prefix}{field.name}` | {_type_name(hint)} | {default} |"
            f" {_meaning(hint)} |"
        )


def _default(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _type_name(hint: Any) -> str:
    schema = msgspec.json.schema(hint)
    if "enum" in schema:
        return "one of " + ", ".join(f"`{value}`" for value in schema["enum"])
    return schema["type"]


def _meaning(hint: Any) -> str:
    meanings = [m.description for m in hint.__metadata__ if m.description]
    return meanings[0]
