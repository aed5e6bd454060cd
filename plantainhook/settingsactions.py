"""Implement the subcommands of ``plantainhook settings``.

Each action takes the settings store and the parsed arguments, and returns an
exit code; ``check`` needs no store. Results are written to standard output
and errors to standard error. With ``--json`` both are JSON.
"""

import argparse
import dataclasses
import getpass
import json
import sys
import typing
from collections import abc

import msgspec
import result
import tomlkit

from plantainhook import (
    commands,
    errors,
    messages,
    revisions,
    settingsapply,
    settingsdiff,
    settingsfile,
    settingsobjects,
    settingsstore,
    settingstree,
)

Failure = errors.PlantainhookError
Store = settingsstore.SettingsStore
Action = abc.Callable[[Store, argparse.Namespace], abc.Awaitable[int]]


def check(arguments: argparse.Namespace) -> int:
    """Validate a file as if it contained all settings."""
    loaded = settingsfile.read(arguments.file)
    if isinstance(loaded, result.Err):
        return _report_problems(loaded.err_value, arguments.json)
    settings_file = loaded.ok_value
    problems = settingsfile.check_all(
        settings_file.settings, settings_file.file, settings_file.text
    )
    if problems:
        return _report_problems(problems, arguments.json)
    count = len(settings_file.change().specs)
    if arguments.json:
        _print_json(
            {"file": settings_file.file, "objects": count, "errors": []}
        )
    else:
        print(messages.FILE_VALID.format(file=settings_file.file, count=count))
    return commands.EXIT_DONE


async def apply(store: Store, arguments: argparse.Namespace) -> int:
    """Put the objects of a file in force and remove the named ones."""
    request = settingsapply.Request(
        settingsobjects.Change({}, frozenset(arguments.remove)),
        _author(arguments),
        arguments.comment,
        base_revision=arguments.base,
    )
    if arguments.file is not None:
        loaded = settingsfile.read(arguments.file)
        if isinstance(loaded, result.Err):
            return _report_problems(loaded.err_value, arguments.json)
        settings_file = loaded.ok_value
        change = dataclasses.replace(
            request.change, specs=settings_file.change().specs
        )
        request = dataclasses.replace(
            request,
            change=change,
            file=settings_file.file,
            text=settings_file.text,
        )
    return _report_applied(await store.apply(request), arguments.json)


async def undo(store: Store, arguments: argparse.Namespace) -> int:
    """Put a new revision in force that undoes an earlier one."""
    outcome = await store.undo(
        arguments.revision, _author(arguments), arguments.comment
    )
    return _report_applied(outcome, arguments.json)


async def show(store: Store, arguments: argparse.Namespace) -> int:
    """Print objects, or the rules in force for a kind of request."""
    if arguments.revision is None:
        loaded = await store.load_current()
    else:
        loaded = await store.load_settings(arguments.revision)
    if isinstance(loaded, result.Err):
        return report(loaded.err_value, arguments.json)
    if arguments.effective or arguments.explain:
        return _show_rules(loaded.ok_value, arguments)
    return _show_objects(loaded.ok_value, arguments)


async def diff(store: Store, arguments: argparse.Namespace) -> int:
    """Print the differences between two revisions."""
    outcome = await store.diff(arguments.old, arguments.new)
    if isinstance(outcome, result.Err):
        return report(outcome.err_value, arguments.json)
    if arguments.json:
        _print_json([dataclasses.asdict(d) for d in outcome.ok_value])
    else:
        _print_differences(outcome.ok_value)
    return commands.EXIT_DONE


async def history(store: Store, arguments: argparse.Namespace) -> int:
    """Print the latest revisions: who made them, when, and what changed."""
    outcome = await store.history(arguments.count)
    if isinstance(outcome, result.Err):
        return report(outcome.err_value, arguments.json)
    if arguments.json:
        _print_json([msgspec.to_builtins(i) for i in outcome.ok_value])
        return commands.EXIT_DONE
    for info in outcome.ok_value:
        print(settingsapply.info_text(info))
        print(f"  request {info.request_id}; {_changed_text(info)}")
    return commands.EXIT_DONE


def report(error: Failure, as_json: bool = False) -> int:
    """Print an error and return its exit code."""
    if isinstance(error, errors.SettingsInvalidError):
        return _report_problems(error.problems, as_json)
    text = ""
    if isinstance(error, errors.SettingsConflictError):
        text = error.report
    if as_json:
        body = {
            "error": type(error).__name__,
            "step": error.step,
            "peer": error.peer,
            "detail": error.detail,
            "report": text,
        }
        _print_json(body, sys.stderr)
    else:
        print(f"error: {error}", file=sys.stderr)
        if text:
            print(text, file=sys.stderr)
    return commands.EXIT_FAILED


def _report_problems(
    problems: abc.Sequence[errors.SettingsError], as_json: bool
) -> int:
    """Print every error of a file."""
    if as_json:
        entries = [
            {
                "file": p.file,
                "line": p.line,
                "key_path": p.key_path,
                "expected": p.expected,
            }
            for p in problems
        ]
        _print_json({"errors": entries}, sys.stderr)
        return commands.EXIT_USAGE
    for problem in problems:
        location = (
            f"{problem.file}:{problem.line}" if problem.line else problem.file
        )
        path = f" {problem.key_path}:" if problem.key_path else ""
        print(f"{location}:{path} {problem.expected}", file=sys.stderr)
    return commands.EXIT_USAGE


def _report_applied(
    outcome: result.Result[settingsapply.Applied, Failure], as_json: bool
) -> int:
    """Print the outcome of a change."""
    if isinstance(outcome, result.Err):
        return report(outcome.err_value, as_json)
    applied = outcome.ok_value
    info = applied.revision.info
    if as_json:
        _print_json(
            {
                "revision": info.revision,
                "changes": [
                    dataclasses.asdict(d) for d in applied.differences
                ],
            }
        )
        return commands.EXIT_DONE
    if not applied.differences:
        print(messages.NOTHING_TO_CHANGE.format(revision=info.revision))
        return commands.EXIT_DONE
    print(messages.ACCEPTED.format(revision=info.revision))
    _print_differences(applied.differences)
    return commands.EXIT_DONE


def _show_objects(
    revision: revisions.Revision, arguments: argparse.Namespace
) -> int:
    """Print objects in the format of a settings file."""
    unknown = [n for n in arguments.names if n not in revision.records]
    if unknown:
        detail = messages.OBJECT_NOT_IN_REVISION.format(
            name=unknown[0], revision=revision.info.revision
        )
        return report(settingsstore.request_error(detail), arguments.json)
    names = arguments.names or list(revision.records)
    specs = {
        name: settingsobjects.decode(revision.records[name]).spec
        for name in names
    }
    tree = settingsobjects.tree_of(specs)
    if arguments.json:
        info = msgspec.to_builtins(revision.info)
        _print_json({"revision": info, "settings": tree})
        return commands.EXIT_DONE
    print(f"# {settingsapply.info_text(revision.info)}")
    print(tomlkit.dumps(tree), end="")
    return commands.EXIT_DONE


def _show_rules(
    revision: revisions.Revision, arguments: argparse.Namespace
) -> int:
    """Print the rules in force, with their origin if ``--explain`` is set."""
    context = settingstree.RuleContext(
        arguments.data_centre, arguments.service, arguments.kind
    )
    records = settingsobjects.read_records(revision.records)
    settings = settingsobjects.settings_of(revision.records)
    explained = settingstree.explain(settings, records, context)
    if arguments.json:
        rules = [_rule_json(e, arguments.explain) for e in explained]
        _print_json({"revision": revision.info.revision, "rules": rules})
        return commands.EXIT_DONE
    for entry in explained:
        origin = f"  # {_origin(entry)}" if arguments.explain else ""
        print(f"{entry.rule} = {json.dumps(entry.value)}{origin}")
    return commands.EXIT_DONE


def _rule_json(
    entry: settingstree.Explanation, with_origin: bool
) -> dict[str, typing.Any]:
    """Return a rule as an object for JSON output."""
    body = {"rule": entry.rule, "value": entry.value}
    if with_origin:
        body["level"] = entry.level
        stamp = entry.stamp
        if stamp is not None:
            body["revision"] = stamp.revision
            body["author"] = stamp.author
            body["at"] = settingsapply.time_text(stamp.wall_s)
    return body


def _origin(entry: settingstree.Explanation) -> str:
    """Describe which level set a value, by whom and when."""
    if entry.stamp is None:
        return entry.level
    stamp = entry.stamp
    moment = settingsapply.time_text(stamp.wall_s)
    return (
        f"{entry.level}, revision {stamp.revision} "
        f"by {stamp.author} at {moment}"
    )


def _changed_text(info: revisions.Info) -> str:
    """Describe on one line which objects a revision changed."""
    names = ", ".join(info.changed)
    omitted_count = info.changed_count - len(info.changed)
    more = f" and {omitted_count} more" if omitted_count > 0 else ""
    return f"changed {names}{more}"


def _print_differences(
    differences: abc.Sequence[settingsdiff.Difference],
) -> None:
    """Print differences, one per line."""
    for difference in differences:
        print(f"  {difference.text()}")


def _print_json(body: typing.Any, file: typing.TextIO | None = None) -> None:
    """Print a JSON document."""
    print(json.dumps(body, indent=2), file=file)


def _author(arguments: argparse.Namespace) -> str:
    """Return the author from the arguments, or else the user's name."""
    author: str | None = arguments.author
    if author:
        return author
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
