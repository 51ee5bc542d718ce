"""Settings: JSON with comments, checked as a whole, passed as frozen objects."""

from verbenagrade.settings.load import load_settings, settings_faults
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
    "load_settings",
    "settings_faults",
]
