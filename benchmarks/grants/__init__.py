"""Simulates gateways that obtain grants from one store, at virtual time."""
