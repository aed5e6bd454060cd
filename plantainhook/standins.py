"""Registry of the stand-ins that ``plantainhook standin NAME`` runs.

A module of a stand-in registers it by decorator; the decorated function runs
the stand-in until it is interrupted.
"""

import argparse
import dataclasses
import typing
from collections import abc

from plantainhook import commands


@dataclasses.dataclass(frozen=True, slots=True)
class Standin:
    """Describe one stand-in."""

    name: str
    summary: str
    add_arguments: commands.AddArguments
    run: commands.Run


STANDINS: typing.Final[dict[str, Standin]] = {}


def standin(
    name: str, summary: str, add_arguments: commands.AddArguments
) -> abc.Callable[[commands.Run], commands.Run]:
    """Return a decorator that registers the function as a stand-in."""

    def add(run: commands.Run) -> commands.Run:
        if name in STANDINS:
            raise ValueError(f"stand-in {name!r} is registered twice")
        STANDINS[name] = Standin(name, summary, add_arguments, run)
        return run

    return add


def add_listen_argument(parser: argparse.ArgumentParser, port: int) -> None:
    """Add the address option that every stand-in has."""
    parser.add_argument(
        "--listen",
        default=f"127.0.0.1:{port}",
        metavar="HOST:PORT",
        help="address to listen on; port 0 picks a free one "
        "(default: %(default)s)",
    )
