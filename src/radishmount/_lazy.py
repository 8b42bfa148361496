"""Lazy imports of the public names of a package."""

import sys
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


__all__ = ["lazy_names"]


def lazy_names(package: str, modules_by_name: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a `__getattr__` for `package` that imports the module of a name on its first use.

    So a program imports only the modules of a large package that it uses, and starts faster:

        __getattr__ = lazy_names(__name__, {"serve": "_serve"})
    """

    def get(name: str) -> Any:
        module = modules_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return get
