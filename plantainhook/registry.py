"""Registries of named implementations, filled by decorators.

Operators choose an implementation by its name in the settings.
"""

import typing
from collections import abc

T = typing.TypeVar("T")
F = typing.TypeVar("F")


class Registry(typing.Generic[T]):
    """Map names to factories of one kind of part."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._factories: dict[str, abc.Callable[..., T]] = {}

    def register(
        self, name: str
    ) -> abc.Callable[[abc.Callable[..., T]], abc.Callable[..., T]]:
        """Return a decorator that adds a factory under a name.

        Raises ValueError where the name is taken.
        """

        def add(factory: abc.Callable[..., T]) -> abc.Callable[..., T]:
            if name in self._factories:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._factories[name] = factory
            return factory

        return add

    def create(self, name: str, *args: object, **kwargs: object) -> T:
        """Build the implementation that has this name.

        Raises KeyError with the known names where there is none.
        """
        factory = self._factories.get(name)
        if factory is None:
            known = ", ".join(self.names())
            raise KeyError(f"no {self.kind} {name!r}; known: {known}")
        return factory(*args, **kwargs)

    def names(self) -> tuple[str, ...]:
        """Return the registered names in order."""
        return tuple(sorted(self._factories))
