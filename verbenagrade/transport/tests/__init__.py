"""Tests of verbenagrade.transport."""
