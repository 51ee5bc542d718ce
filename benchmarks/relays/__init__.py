"""Processor time of calls that go through another VM, and of records of streams."""
