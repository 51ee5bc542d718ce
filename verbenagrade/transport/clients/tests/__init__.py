"""Tests of the connections of clients."""
