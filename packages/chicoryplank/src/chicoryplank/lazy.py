"""Packages whose names are imported when they are first used.

A daemon that was killed is away from its callers until its modules are
imported, and each daemon uses only a part of every package.
"""

import importlib
from collections.abc import Callable, Mapping


def make_lazy_exports(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> tuple[Callable[[str], object], list[str]]:
    """Returns `__getattr__` and `__all__` of a package.

    Args:
        package: Name of the package.
        modules: Exported names by the module of the package that has them.
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
