"""Command line: one program with subcommands.

A command module registers its commands when it is imported (see
``commands``). If the first argument is a key of ``COMMAND_MODULES``, only the
module of that command is imported, so that a daemon starts faster. Otherwise
the modules of all commands are imported.
"""

import argparse
import importlib
import signal
import sys
import typing
from collections import abc

from plantainhook import commands

COMMAND_MODULES: typing.Final = {
    "bench": "commands_bench",
    "bench-control": "commands_controlbench",
    "explain": "commands_explain",
    "forward": "commands_forward",
    "serve": "commands_serve",
    "settings": "commands_settings",
    "report": "commands_report",
}
# Commands that handle SIGHUP once they run.
RELOADING_COMMANDS: typing.Final = ("forward",)
OTHER_MODULES: typing.Final = (
    "capacitytables",
    "commands_client",
    "commands_standin",
    "commands_standin_platform",
    "demo",
    "openapi",
)


def import_commands(argv: abc.Sequence[str]) -> None:
    """Import the module of the given command, or those of all commands.

    The imports of a daemon take half a second. SIGHUP, which asks it to read
    its options again, must not end it before it can handle the signal.
    """
    if argv and argv[0] in RELOADING_COMMANDS:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    chosen = COMMAND_MODULES.get(argv[0]) if argv else None
    modules = (
        [chosen] if chosen else [*COMMAND_MODULES.values(), *OTHER_MODULES]
    )
    for module in modules:
        importlib.import_module(f"plantainhook.{module}")


def build_parser(argv: abc.Sequence[str] = ()) -> argparse.ArgumentParser:
    """Build the parser with the subcommands that the arguments need."""
    parser = argparse.ArgumentParser(
        prog="plantainhook",
        description="A query tier over many shards.",
        epilog="Exit codes: 0 done, 1 the operation failed, "
        "2 bad usage, settings or input file.",
    )
    import_commands(argv)
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
    argv = sys.argv[1:] if argv is None else argv
    arguments = build_parser(argv).parse_args(argv)
    try:
        code: int = arguments.run(arguments)
    except KeyboardInterrupt:
        return commands.EXIT_FAILED
    except BrokenPipeError:
        sys.stderr.close()
        return commands.EXIT_FAILED
    return code
