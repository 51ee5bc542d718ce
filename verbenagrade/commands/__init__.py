"""The entry points of the programs."""
