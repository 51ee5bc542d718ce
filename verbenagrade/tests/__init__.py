"""Tests of the whole system as separate processes, and what they need."""
