"""Tests of verbenagrade.metrics."""
