"""Registries of interchangeable functions, filled by decorators."""

from collections.abc import Callable
from typing import Any

from fuchsiapin.exceptions import UnknownFunction

__all__ = ["Registry"]


class Registry:
    """Functions of one kind by name.

    Parameters
    ----------
    kind : str
        Kind of the functions, for error messages.

    Examples
    --------
    >>> greeters = Registry("greeter")
    >>> @greeters.register("short")
    ... def greet():
    ...     return "hi"
    >>> greeters.get("short")()
    'hi'
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.functions: dict[str, Callable[..., Any]] = {}

    def register(self, name: str) -> Callable[[Callable], Callable]:
        """Return a decorator that registers a function under `name`."""

        def add(function: Callable) -> Callable:
            self.functions[name] = function
            return function

        return add

    def get(self, name: str) -> Callable[..., Any]:
        """Return the function registered under `name`.

        Raises
        ------
        UnknownFunction
            If there is none.
        """
        if name not in self.functions:
            known = ", ".join(sorted(self.functions))
            raise UnknownFunction(f"no {self.kind} named {name!r}; known: {known}")
        return self.functions[name]
