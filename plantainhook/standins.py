"""Registry of the stand-ins for the external systems.

A module of a stand-in registers it by decorator; the command ``standin``
reads this registry.
"""

import argparse
import dataclasses
import typing
from collections import abc

AddArguments = abc.Callable[[argparse.ArgumentParser], None]
Run = abc.Callable[[argparse.Namespace], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Standin:
    """Describe one stand-in."""

    name: str
    summary: str
    add_arguments: AddArguments
    run: Run


STANDINS: typing.Final[dict[str, Standin]] = {}


def standin(
    name: str, summary: str, add_arguments: AddArguments
) -> abc.Callable[[Run], Run]:
    """Return a decorator that registers the function as a stand-in."""

    def add(run: Run) -> Run:
        if name in STANDINS:
            raise ValueError(f"stand-in {name!r} is registered twice")
        STANDINS[name] = Standin(name, summary, add_arguments, run)
        return run

    return add
