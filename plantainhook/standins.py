"""Registry of the stand-ins that ``plantainhook standin NAME`` runs.

The command module of a stand-in registers it with the decorator ``standin``;
the decorated function runs the stand-in until it is interrupted and returns
the exit code.
"""

import argparse
import dataclasses
import typing
from collections import abc

from plantainhook import commands


@dataclasses.dataclass(frozen=True, slots=True)
class Standin:
    """Describe a stand-in; ``summary`` is its line in the help text."""

    name: str
    summary: str
    add_arguments: commands.AddArguments
    run: commands.Run


STANDINS: typing.Final[dict[str, Standin]] = {}


def standin(
    name: str, summary: str, add_arguments: commands.AddArguments
) -> abc.Callable[[commands.Run], commands.Run]:
    """Return a decorator that registers a function as a stand-in.

    The decorator raises ValueError if the name is registered already.
    """

    def add(run: commands.Run) -> commands.Run:
        if name in STANDINS:
            raise ValueError(f"stand-in {name!r} is registered twice")
        STANDINS[name] = Standin(name, summary, add_arguments, run)
        return run

    return add


def add_listen_argument(parser: argparse.ArgumentParser, port: int) -> None:
    """Add the option for the address to listen on."""
    parser.add_argument(
        "--listen",
        default=f"127.0.0.1:{port}",
        metavar="HOST:PORT",
        help="address to listen on; port 0 picks a free one "
        "(default: %(default)s)",
    )
