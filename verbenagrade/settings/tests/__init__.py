"""Tests of verbenagrade.settings."""
