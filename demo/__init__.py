"""A demonstration of the whole system on one machine."""
