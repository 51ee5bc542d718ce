"""Loads and validates settings files.

A settings file is JSON with comments. All errors of a file are reported at once, and
valid settings are passed around as frozen dataclasses.
"""

from verbenagrade.settings.load import find_settings_errors, load_settings
from verbenagrade.settings.types import (
    ControlSettings,
    LimitSettings,
    PlatformSettings,
    RouterSettings,
    TimingSettings,
)

__all__ = [
    "ControlSettings",
    "LimitSettings",
    "PlatformSettings",
    "RouterSettings",
    "TimingSettings",
    "find_settings_errors",
    "load_settings",
]
