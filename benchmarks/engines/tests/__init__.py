"""Tests of placement under load, without a network."""
