"""Tests of verbenagrade.events."""
