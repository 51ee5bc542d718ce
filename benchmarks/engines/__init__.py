"""Placement of calls on model engines, compared at virtual time."""
