"""Command ``explain``: the story of one request from the logs of daemons."""

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
        "files", nargs="+", type=pathlib.Path, help="logs with JSON lines"
    )
    parser.add_argument(
        "--around",
        type=float,
        default=AROUND_DEFAULT_S,
        metavar="SECONDS",
        help="show what the daemon learnt so long before (default 0.5)",
    )


@commands.command(
    "explain",
    "Tell what happened to a request, from logs.",
    add_explain_arguments,
)
def run_explain(arguments: argparse.Namespace) -> int:
    """Print the story; 1 where no line names the request."""
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
    story = explain.build_timeline(
        arguments.request_id, lines, unreadable_count, arguments.around
    )
    for item in story.lines:
        print(item.text())
    if story.unreadable_count:
        print(f"{story.unreadable_count} lines could not be read.")
    if story.omitted_count:
        print(f"{story.omitted_count} lines were left out by the daemons.")
    if not story.lines:
        print(f"No line names {arguments.request_id}.", file=sys.stderr)
        return commands.EXIT_FAILED
    return commands.EXIT_DONE
