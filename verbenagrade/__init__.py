"""A router fleet for prepaid token budgets.

The package has four layers, from top to bottom: ``transport`` does network I/O,
``protocol`` encodes and decodes typed messages, ``coordination`` coordinates the
instances, and ``state`` makes the decisions without I/O. Each layer imports only the
layers below it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
