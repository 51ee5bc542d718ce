"""Tests of verbenagrade.protocol."""
