"""Tests of verbenagrade.state."""
