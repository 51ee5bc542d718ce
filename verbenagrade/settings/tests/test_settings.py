"""Tests of loading and validating settings files, and of the settings reference."""

from pathlib import Path

import pytest

from verbenagrade.exceptions import SettingsError
from verbenagrade.settings import RouterSettings, load_settings
from verbenagrade.settings.reference import settings_reference

DOCS = Path(__file__).parents[3] / "docs"

VALID_SETTINGS = """{
  // comments are allowed
  vm: "muscat-1", data_centre: "muscat-a", address: "127.0.0.1",
  caller_port: 8080, peer_port: 7000,
  platform: {table_url: "http://a", objects_url: "http://b", vm_list_url: "http://c"},
}"""


def test_valid_settings_are_loaded_as_frozen_objects(tmp_path):
    path = tmp_path / "router.json5"
    path.write_text(VALID_SETTINGS)
    settings = load_settings(path, RouterSettings)
    assert settings.timing.tend_s == 1.0
    with pytest.raises(AttributeError):
        settings.vm = "other"


def test_all_errors_of_a_file_are_reported_at_once(tmp_path):
    path = tmp_path / "router.json5"
    path.write_text('{vm: 7, caller_port: 70000, timing: {tend_s: -1}, colour: "red"}')
    with pytest.raises(SettingsError) as raised:
        load_settings(path, RouterSettings)
    keys = [line.split(":")[0] for line in str(raised.value).splitlines()]
    assert keys == [
        "colour",
        "vm",
        "data_centre",
        "address",
        "caller_port",
        "peer_port",
        "platform",
        "timing.tend_s",
    ]


def test_reference_page_matches_the_settings_types():
    assert (DOCS / "settings" / "reference.md").read_text() == settings_reference()
