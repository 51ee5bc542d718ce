"""Measures the marginal cost of calls and state for ``docs/CAPACITY.md``."""
