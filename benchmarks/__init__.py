"""Benchmarks, which print measurements and assert nothing about elapsed time."""
