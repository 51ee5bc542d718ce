"""Tests of placement policies under simulated load, without a network."""
