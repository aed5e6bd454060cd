"""Build, validate and compare changes of the settings, without I/O.

``build_attempt`` turns a request into a validated new revision.
``conflict_error`` writes the report that an operator gets if another change
came first. ``settingsstore`` reads and writes the revisions.
"""

import dataclasses
import datetime
import typing
from collections import abc

import msgspec
import pydantic
import result

from plantainhook import (
    errors,
    messages,
    revisions,
    schema,
    settingschunks,
    settingsdiff,
    settingsfile,
    settingsobjects,
    shareplan,
)

PEER: typing.Final = "settings"
CHANGED_NAMES_LIMIT_COUNT: typing.Final = 50
REPORT_LIMIT_LINES: typing.Final = 40

Failure = errors.PlantainhookError


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Describe a change that an operator requests.

    ``base_revision`` is the revision that the operator saw; None stands for
    the one in force. ``file`` and ``text`` are for error messages: the path
    and content of the settings file.
    """

    change: settingsobjects.Change
    author: str
    comment: str = ""
    base_revision: int | None = None
    undo_of: int = 0
    file: str = PEER
    text: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Describe an applied change: the new revision and what differs.

    If nothing differs, ``revision`` is the previous one.
    """

    revision: revisions.Revision
    differences: tuple[settingsdiff.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Represent a validated new revision and the head that it replaces.

    ``new_texts`` holds, by hash, the chunks that the base does not have.
    """

    head: settingschunks.Head
    base: revisions.Revision
    revision: revisions.Revision
    new_texts: dict[str, bytes]


def build_attempt(
    request: Request,
    head: settingschunks.Head,
    base: revisions.Revision,
    info: revisions.Info,
) -> result.Result[Attempt, Failure]:
    """Apply a request to its base and validate the new revision.

    If the request changes nothing, the revision is the base itself. Returns
    SettingsInvalidError with every problem found.
    """
    absent = sorted(request.change.removed - base.records.keys())
    if absent:
        return result.Err(
            errors.SettingsInvalidError(
                [
                    _problem(request, name, messages.OBJECT_UNKNOWN)
                    for name in absent
                ]
            )
        )
    records = settingsobjects.change_records(
        base.records, request.change, info
    )
    changed = revisions.changed_names(base.records, records)
    if not changed:
        return result.Ok(Attempt(head, base, base, {}))
    problems = _problems(request, base, records, changed)
    if problems:
        return result.Err(errors.SettingsInvalidError(problems))
    info = msgspec.structs.replace(
        info,
        changed=changed[:CHANGED_NAMES_LIMIT_COUNT],
        changed_count=len(changed),
    )
    revision, texts = revisions.build(info, records)
    known = {text_hash for _, text_hash in base.manifest.chunks}
    new_texts = {h: t for h, t in texts.items() if h not in known}
    return result.Ok(Attempt(head, base, revision, new_texts))


def _problems(
    request: Request,
    base: revisions.Revision,
    records: abc.Mapping[str, bytes],
    changed: abc.Sequence[str],
) -> list[errors.SettingsError]:
    """Return every reason why the records are not valid settings."""
    problems = [
        _problem(
            request,
            name,
            messages.OBJECT_TOO_LARGE.format(
                limit_bytes=revisions.RECORD_LIMIT_BYTES,
                size_bytes=len(records[name]),
            ),
        )
        for name in changed
        if len(records.get(name, b"")) > revisions.RECORD_LIMIT_BYTES
    ]
    try:
        settings = settingsobjects.settings_of(records)
    except pydantic.ValidationError as error:
        return problems + settingsfile.schema_problems(
            request.file, request.text, error
        )
    return [
        *problems,
        *settingsfile.check_all(settings, request.file, request.text),
        *_moved_leafs(request, base, settings),
    ]


def _moved_leafs(
    request: Request, base: revisions.Revision, settings: schema.Settings
) -> abc.Iterator[errors.SettingsError]:
    """Find leafs that change holders without a new plan generation.

    Daemons with the old revision and daemons with the new one could then
    together exceed the connection limit of such a leaf.
    """
    if base.info.revision == revisions.NO_REVISION:
        return
    before = settingsobjects.settings_of(base.records)
    for name in shareplan.moved_leafs(before, settings):
        expected = messages.LEAF_MOVED.format(name=name)
        yield _problem(request, "share_plan", expected)


def _problem(
    request: Request, record_name: str, expected: str
) -> errors.SettingsError:
    """Build the error of an object as a whole."""
    key_path = record_name.replace("/", ".", 1)
    return errors.SettingsError(request.file, 0, key_path, expected)


def chunks_of(
    revision: revisions.Revision,
) -> dict[str, abc.Mapping[str, bytes]]:
    """Return the records of a revision by the hash of their chunk."""
    names = sorted(revision.records)
    starts = [first for first, _ in revision.manifest.chunks]
    hashes = [text_hash for _, text_hash in revision.manifest.chunks]
    chunks: dict[str, dict[str, bytes]] = {h: {} for h in hashes}
    position = -1
    for name in names:
        if position + 1 < len(starts) and starts[position + 1] == name:
            position += 1
        chunks[hashes[position]][name] = revision.records[name]
    return dict(chunks)


def changed_since(
    undone: revisions.Revision,
    before: revisions.Revision,
    current: revisions.Revision,
) -> list[str]:
    """Return the objects of a revision that have changed again since then.

    ``before`` is the revision before ``undone``; the objects are those that
    differ between the two.
    """
    names = revisions.changed_names(before.records, undone.records)
    return [
        name for name in names if _spec(undone, name) != _spec(current, name)
    ]


def _spec(
    revision: revisions.Revision, name: str
) -> settingsobjects.Spec | None:
    """Return what an operator wrote for an object; None if it is absent."""
    text = revision.records.get(name)
    return None if text is None else settingsobjects.decode(text).spec


def undo_change(
    before: revisions.Revision, undone: revisions.Revision
) -> settingsobjects.Change:
    """Return the change that restores the objects that a revision changed."""
    names = revisions.changed_names(before.records, undone.records)
    specs = {
        name: settingsobjects.decode(before.records[name]).spec
        for name in names
        if name in before.records
    }
    removed = frozenset(n for n in names if n not in before.records)
    return settingsobjects.Change(specs, removed)


def conflict_error(
    base: revisions.Revision,
    current: revisions.Revision,
    wanted: revisions.Revision,
    newer: abc.Sequence[revisions.Info],
) -> errors.SettingsConflictError:
    """Build the error and report of a change that another one preceded.

    ``newer`` lists the revisions after the base, newest first.
    """
    theirs = settingsdiff.between_records(base.records, current.records)
    own = settingsdiff.between_records(base.records, wanted.records)
    in_both = {d.record for d in theirs} & {d.record for d in own}
    number = current.info.revision
    lines = [f"Changed since revision {base.info.revision}:"]
    lines += [f"  {info_text(info)}" for info in reversed(newer)]
    lines += _indented(theirs)
    lines += ["Your change, which was not accepted:", *_indented(own)]
    redo = messages.CONFLICT_REDO_OTHER
    if in_both:
        redo = messages.CONFLICT_REDO_SAME
    names = " ".join(sorted(in_both))
    lines.append(redo.format(current=number, names=names))
    detail = messages.CONFLICT.format(current=number, base=base.info.revision)
    return errors.SettingsConflictError(PEER, detail, "\n".join(lines), number)


def info_text(info: revisions.Info) -> str:
    """Describe on one line who made a revision and when."""
    comment = f": {info.comment}" if info.comment else ""
    return (
        f"revision {info.revision} by {info.author} at "
        f"{time_text(info.wall_s)}{comment}"
    )


def time_text(wall_s: float) -> str:
    """Format a wall-clock time in UTC, to the second."""
    moment = datetime.datetime.fromtimestamp(wall_s, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _indented(
    differences: abc.Sequence[settingsdiff.Difference],
) -> list[str]:
    """Format differences as lines of a report, up to a limit."""
    lines = [f"    {d.text()}" for d in differences[:REPORT_LIMIT_LINES]]
    omitted_count = len(differences) - len(lines)
    if omitted_count > 0:
        lines.append(f"    and {omitted_count} more")
    return lines
