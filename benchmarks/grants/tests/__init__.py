"""Tests of grants under simulated load, without a network."""
