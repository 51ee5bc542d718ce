"""End-to-end tests that run the system as separate processes, and their helpers."""
