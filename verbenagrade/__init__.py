"""A router fleet for prepaid token budgets.

The package is layered. ``transport`` moves bytes, ``protocol`` turns them into
typed messages, ``coordination`` makes the instances act together and ``state``
decides. Each layer imports only the ones below it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
