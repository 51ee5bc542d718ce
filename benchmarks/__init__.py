"""Measurements; none of them asserts anything about time."""
