"""Simulated platform, model engine and plain service, each run as a process."""
