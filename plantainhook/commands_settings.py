"""Command ``plantainhook settings``: check, apply, show, diff, history, undo.

All subcommands but ``check`` need the address of the object API, from
``--platform`` or from the options file of a daemon. ``settingsactions`` holds
the actions themselves.
"""

import argparse
import pathlib
import sys
import typing

import msgspec
import pydantic
import result
import trio

from plantainhook import (
    clock,
    commands,
    errors,
    messages,
    objectapihttp,
    options,
    settingsactions,
    settingsstore,
)

CALLS_PER_S: typing.Final = 200.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands and their arguments."""
    subparsers = parser.add_subparsers(
        dest="subcommand", required=True, metavar="SUBCOMMAND"
    )
    _add_check(subparsers.add_parser("check", help="validate a settings file"))
    _add_apply(subparsers.add_parser("apply", help="apply or remove objects"))
    _add_show(subparsers.add_parser("show", help="print settings objects"))
    _add_diff(subparsers.add_parser("diff", help="compare two revisions"))
    _add_history(subparsers.add_parser("history", help="list revisions"))
    _add_undo(subparsers.add_parser("undo", help="undo a revision"))


def _add_platform(parser: argparse.ArgumentParser) -> None:
    """Add the options that tell how to reach the object API."""
    parser.add_argument(
        "--options",
        type=pathlib.Path,
        metavar="FILE",
        help="options file of a daemon, for the object API and its token",
    )
    parser.add_argument(
        "--platform", metavar="URL", help="address of the object API"
    )
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )


def _add_author(parser: argparse.ArgumentParser) -> None:
    """Add the options that record the author and reason of a change."""
    parser.add_argument(
        "--author", metavar="NAME", help="who makes the change"
    )
    parser.add_argument("--comment", default="", help="why it is made")


def _add_check(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )
    parser.set_defaults(action=None)


def _add_apply(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=pathlib.Path, nargs="?", metavar="FILE")
    parser.add_argument(
        "--remove",
        action="append",
        default=[],
        metavar="KIND/NAME",
        help="remove an object",
    )
    parser.add_argument(
        "--base",
        type=int,
        metavar="REVISION",
        help="reject the change if another revision is in force",
    )
    _add_author(parser)
    _add_platform(parser)
    parser.set_defaults(action=settingsactions.apply)


def _add_show(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "names", nargs="*", metavar="KIND/NAME", help="objects to print"
    )
    parser.add_argument("--revision", type=int, metavar="N")
    parser.add_argument(
        "--effective", action="store_true", help="print the effective rules"
    )
    parser.add_argument(
        "--explain",
        action="store_true",
        help="print where each rule was set and by whom",
    )
    for option in ("data-centre", "service", "kind"):
        parser.add_argument(f"--{option}", default="", metavar="NAME")
    _add_platform(parser)
    parser.set_defaults(action=settingsactions.show)


def _add_diff(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("old", type=int, metavar="OLD")
    parser.add_argument("new", type=int, metavar="NEW")
    _add_platform(parser)
    parser.set_defaults(action=settingsactions.diff)


def _add_history(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--count", type=int, default=settingsstore.HISTORY_DEFAULT_COUNT
    )
    _add_platform(parser)
    parser.set_defaults(action=settingsactions.history)


def _add_undo(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("revision", type=int, metavar="REVISION")
    _add_author(parser)
    _add_platform(parser)
    parser.set_defaults(action=settingsactions.undo)


@commands.command(
    "settings", "Check, apply, show, compare and undo settings.", add_arguments
)
def run(arguments: argparse.Namespace) -> int:
    """Run a subcommand; print any failure and return the exit code."""
    if arguments.action is None:
        return settingsactions.check(arguments)
    if arguments.subcommand == "apply" and not (
        arguments.file or arguments.remove
    ):
        print(messages.APPLY_NEEDS_OBJECTS, file=sys.stderr)
        return commands.EXIT_USAGE
    loaded = _load_options(arguments)
    if isinstance(loaded, result.Err):
        print(f"error: {loaded.err_value}", file=sys.stderr)
        return commands.EXIT_USAGE
    try:
        return trio.run(_run_connected, arguments, loaded.ok_value)
    except (KeyboardInterrupt, BaseExceptionGroup) as error:
        return _report_interrupt(error)


def _report_interrupt(error: BaseException) -> int:
    """Report an interrupt and return the exit code.

    Trio may raise the KeyboardInterrupt in an exception group, together with
    cancelled calls. A group that contains other errors is raised again.
    """
    if isinstance(error, BaseExceptionGroup):
        _, others = error.split(KeyboardInterrupt)
        if others is not None:
            raise error
    print(f"error: {messages.INTERRUPTED}", file=sys.stderr)
    return commands.EXIT_FAILED


async def _run_connected(
    arguments: argparse.Namespace, run_options: options.Options
) -> int:
    """Run an action with a client of the object API.

    A revision in the object API that can't be decoded is reported.
    """
    own_clock = clock.TrioClock()
    async with objectapihttp.open_object_api(
        run_options.object_api_url,
        run_options.object_api_token,
        run_options.object_api_timeout_s,
        CALLS_PER_S,
        own_clock,
    ) as api:
        store = settingsstore.SettingsStore(api, own_clock)
        action: settingsactions.Action = arguments.action
        try:
            return await action(store, arguments)
        except (pydantic.ValidationError, msgspec.MsgspecError) as error:
            detail = messages.REVISION_NOT_READABLE.format(detail=error)
            return settingsactions.report(
                settingsstore.request_error(detail), arguments.json
            )


def _load_options(
    arguments: argparse.Namespace,
) -> result.Result[options.Options, errors.SettingsError]:
    """Load the options; ``--platform`` overrides the object API's address."""
    run_options = options.Options()
    if arguments.options is not None:
        loaded = options.load_options(arguments.options)
        if isinstance(loaded, result.Err):
            return loaded
        run_options = loaded.ok_value
    if arguments.platform:
        run_options.object_api_url = arguments.platform
    return result.Ok(run_options)
