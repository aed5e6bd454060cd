"""Command line: one program with subcommands.

The modules of commands register themselves when they are imported here.
"""

import argparse
import sys
import typing
from collections import abc

from plantainhook import (
    capacitytables,
    commands,
    commands_bench,
    commands_client,
    commands_controlbench,
    commands_report,
    commands_serve,
    commands_settings,
    commands_standin,
    commands_standin_platform,
    demo,
    openapi,
)

# Importing a module of commands registers its commands.
COMMAND_MODULES: typing.Final = (
    capacitytables,
    commands_bench,
    commands_client,
    commands_controlbench,
    commands_report,
    commands_serve,
    commands_settings,
    commands_standin,
    commands_standin_platform,
    demo,
    openapi,
)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser with every registered subcommand."""
    parser = argparse.ArgumentParser(
        prog="plantainhook",
        description="A query tier over many shards.",
        epilog="Exit codes: 0 done, 1 the operation failed, "
        "2 bad usage, settings or input file.",
    )
    subparsers = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    for command in sorted(commands.COMMANDS.values(), key=lambda c: c.name):
        subparser = subparsers.add_parser(
            command.name, help=command.summary, description=command.summary
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def run(argv: abc.Sequence[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    arguments = build_parser().parse_args(argv)
    try:
        code: int = arguments.run(arguments)
    except KeyboardInterrupt:
        return commands.EXIT_FAILED
    except BrokenPipeError:
        sys.stderr.close()
        return commands.EXIT_FAILED
    return code
