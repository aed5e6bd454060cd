"""Registries of named implementations, filled by decorators.

Operators select an implementation by its name, for example a hedge policy in
the settings or a benchmark scenario on the command line.
"""

import typing
from collections import abc

T = typing.TypeVar("T")
F = typing.TypeVar("F")


class Registry(typing.Generic[T]):
    """Map names to factories of one kind of object.

    ``kind`` names the kind in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._factories: dict[str, abc.Callable[..., T]] = {}

    def register(
        self, name: str
    ) -> abc.Callable[[abc.Callable[..., T]], abc.Callable[..., T]]:
        """Return a decorator that adds a factory under a name.

        The decorator raises ValueError if the name is registered already.
        """

        def add(factory: abc.Callable[..., T]) -> abc.Callable[..., T]:
            if name in self._factories:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._factories[name] = factory
            return factory

        return add

    def create(self, name: str, *args: object, **kwargs: object) -> T:
        """Call the factory of a name with the given arguments.

        Raises KeyError, which lists the known names, if there is none.
        """
        factory = self._factories.get(name)
        if factory is None:
            known = ", ".join(self.names())
            raise KeyError(f"no {self.kind} {name!r}; known: {known}")
        return factory(*args, **kwargs)

    def names(self) -> tuple[str, ...]:
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self._factories))
