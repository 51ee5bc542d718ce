"""Compares policies that place calls on model engines, at virtual time."""
