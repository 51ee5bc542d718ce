"""Re-exports whose modules are imported at first use.

Importing one module of a package does not import the others, so that a process serves
again soon after a restart.
"""

from collections.abc import Callable, Mapping
from importlib import import_module

__all__ = ["lazy_exports"]


def lazy_exports(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> Callable[[str], object]:
    """Returns the ``__getattr__`` function of a package.

    ``modules`` maps each module of the package to the names that it exports.

    >>> get_export = lazy_exports("verbenagrade.state", {"demand": ("GrantPolicy",)})
    >>> get_export("GrantPolicy").__name__
    'GrantPolicy'
    """
    module_of = {name: module for module, names in modules.items() for name in names}

    def get_export(name: str) -> object:
        """Imports the module that exports the name and returns the exported object."""
        module = module_of.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module}"), name)

    return get_export
