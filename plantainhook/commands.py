"""Registry of the subcommands of the program.

A module of commands registers each command by decorator. A command has a
function that adds its arguments and one that runs it and returns the exit
code: 0 done, 1 the operation failed, 2 bad usage, settings or input file.
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
    """Describe one subcommand."""

    name: str
    summary: str
    add_arguments: AddArguments
    run: Run


COMMANDS: typing.Final[dict[str, Command]] = {}


def command(
    name: str, summary: str, add_arguments: AddArguments
) -> abc.Callable[[Run], Run]:
    """Return a decorator that registers the function as a subcommand."""

    def add(run: Run) -> Run:
        if name in COMMANDS:
            raise ValueError(f"command {name!r} is registered twice")
        COMMANDS[name] = Command(name, summary, add_arguments, run)
        return run

    return add
