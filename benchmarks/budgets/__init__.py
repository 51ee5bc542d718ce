"""Compares ways to keep spend inside prepaid budgets, under seeded load."""
