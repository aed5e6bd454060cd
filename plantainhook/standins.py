<<<<<<< HEAD
"""Registry of the stand-ins for the external systems.

A module of a stand-in registers it by decorator; the command ``standin``
reads this registry.
=======
"""Registry of the stand-ins that ``plantainhook standin NAME`` runs.

A module of a stand-in registers it by decorator; the decorated function runs
the stand-in until it is interrupted.
>>>>>>> leafs
"""

import argparse
import dataclasses
import typing
from collections import abc

<<<<<<< HEAD
AddArguments = abc.Callable[[argparse.ArgumentParser], None]
Run = abc.Callable[[argparse.Namespace], int]
=======
from plantainhook import commands
>>>>>>> leafs


@dataclasses.dataclass(frozen=True, slots=True)
class Standin:
    """Describe one stand-in."""

    name: str
    summary: str
<<<<<<< HEAD
    add_arguments: AddArguments
    run: Run
=======
    add_arguments: commands.AddArguments
    run: commands.Run
>>>>>>> leafs


STANDINS: typing.Final[dict[str, Standin]] = {}


def standin(
<<<<<<< HEAD
    name: str, summary: str, add_arguments: AddArguments
) -> abc.Callable[[Run], Run]:
    """Return a decorator that registers the function as a stand-in."""

    def add(run: Run) -> Run:
=======
    name: str, summary: str, add_arguments: commands.AddArguments
) -> abc.Callable[[commands.Run], commands.Run]:
    """Return a decorator that registers the function as a stand-in."""

    def add(run: commands.Run) -> commands.Run:
>>>>>>> leafs
        if name in STANDINS:
            raise ValueError(f"stand-in {name!r} is registered twice")
        STANDINS[name] = Standin(name, summary, add_arguments, run)
        return run

    return add
<<<<<<< HEAD
=======


def add_listen_argument(parser: argparse.ArgumentParser, port: int) -> None:
    """Add the address option that every stand-in has."""
    parser.add_argument(
        "--listen",
        default=f"127.0.0.1:{port}",
        metavar="HOST:PORT",
        help="address to listen on; port 0 picks a free one "
        "(default: %(default)s)",
    )
>>>>>>> leafs
