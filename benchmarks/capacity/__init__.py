"""Measures what one more of each thing costs, for ``docs/CAPACITY.md``."""
