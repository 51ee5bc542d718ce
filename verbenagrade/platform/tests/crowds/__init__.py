"""Tests of clients that send or hold more than a process may keep for them."""
