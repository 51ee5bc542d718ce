"""Demonstration of the whole system on one machine."""
