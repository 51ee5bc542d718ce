"""Compares strategies for enforcing prepaid token budgets under seeded load."""
