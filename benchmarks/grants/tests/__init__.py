"""Tests of grants under load, without a network."""
