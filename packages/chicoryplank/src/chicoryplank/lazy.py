"""Lazy imports for packages: a name's module is imported on first use.

This shortens the start of a daemon, and with it the outage after a crash,
because each daemon uses only some modules of every package.
"""

import importlib
from collections.abc import Callable, Mapping


def make_lazy_exports(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> tuple[Callable[[str], object], list[str]]:
    """Returns the values for `__getattr__` and `__all__` of a package.

    Args:
        package: Name of the package.
        modules: Maps each module of the package to the names that the package
            exports from it.
    """
    owners = {
        name: module for module, names in modules.items() for name in names
    }

    def load(name: str) -> object:
        if name not in owners:
            raise AttributeError(f"module {package!r} has no {name!r}")
        module = importlib.import_module(f"{package}.{owners[name]}")
        return getattr(module, name)

    return load, sorted(owners)


__all__ = ["make_lazy_exports"]
