"""Command ``explain``: the timeline of one request from daemons' logs."""

import argparse
import pathlib
import sys
import typing

from plantainhook import commands, explain

AROUND_DEFAULT_S: typing.Final = 0.5


def add_explain_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``explain``."""
    parser.add_argument("request_id", help="id of the request")
    parser.add_argument(
        "files", nargs="+", type=pathlib.Path, help="log files with JSON lines"
    )
    parser.add_argument(
        "--around",
        type=float,
        default=AROUND_DEFAULT_S,
        metavar="SECONDS",
        help="also show updates received this long before (default 0.5)",
    )


@commands.command(
    "explain",
    "Show what happened to a request, from log files.",
    add_explain_arguments,
)
def run_explain(arguments: argparse.Namespace) -> int:
    """Print the timeline; return 1 if no line names the request."""
    lines: list[explain.TimelineLine] = []
    unreadable_count = 0
    for path in arguments.files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            print(f"error: {path}: {error.strerror}", file=sys.stderr)
            return commands.EXIT_USAGE
        found, bad_count = explain.read_lines(path.name, text.splitlines())
        lines += found
        unreadable_count += bad_count
    timeline = explain.build_timeline(
        arguments.request_id, lines, unreadable_count, arguments.around
    )
    for item in timeline.lines:
        print(item.text())
    if timeline.unreadable_count:
        print(f"{timeline.unreadable_count} lines could not be read.")
    if timeline.omitted_count:
        print(f"{timeline.omitted_count} lines were dropped by the daemons.")
    if not timeline.lines:
        print(f"No log line names {arguments.request_id}.", file=sys.stderr)
        return commands.EXIT_FAILED
    return commands.EXIT_DONE
