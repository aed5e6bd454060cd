"""Registry of the subcommands of the program.

The ``commands_*`` modules and some others register their commands with the
decorator ``command``. A command has a function that adds its arguments to a
parser, and one that runs it and returns the exit code: 0 for success, 1 if
the operation failed, 2 for bad usage, settings or input files.
"""

import argparse
import dataclasses
import typing
from collections import abc

EXIT_DONE: typing.Final = 0
EXIT_FAILED: typing.Final = 1
EXIT_USAGE: typing.Final = 2

AddArguments = abc.Callable[[argparse.ArgumentParser], None]
Run = abc.Callable[[argparse.Namespace], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Describe a subcommand; ``summary`` is its line in the help text."""

    name: str
    summary: str
    add_arguments: AddArguments
    run: Run


COMMANDS: typing.Final[dict[str, Command]] = {}


def command(
    name: str, summary: str, add_arguments: AddArguments
) -> abc.Callable[[Run], Run]:
    """Return a decorator that registers a function as a subcommand.

    The decorator raises ValueError if the name is registered already.
    """

    def add(run: Run) -> Run:
        if name in COMMANDS:
            raise ValueError(f"command {name!r} is registered twice")
        COMMANDS[name] = Command(name, summary, add_arguments, run)
        return run

    return add
