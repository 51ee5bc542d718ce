"""Tests of verbenagrade.commands."""
