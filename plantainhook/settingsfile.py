"""Read and validate settings files in TOML.

Every error names the file, the line if it is known, the key path and what
was expected there. ``read`` checks one file against the schema; ``check_all``
checks settings across objects.
"""

import dataclasses
import pathlib
import tomllib
import typing
from collections import abc

import pydantic
import result

from plantainhook import (
    errors,
    schema,
    settingschecks,
    settingslines,
    settingsobjects,
)

FOUND_LIMIT_CHARS: typing.Final = 60

Problems = abc.Sequence[errors.SettingsError]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFile:
    """Represent a settings file that matches the schema.

    ``file`` is the path that errors name.
    """

    file: str
    text: str
    settings: schema.Settings

    def change(self) -> settingsobjects.Change:
        """Return the change that puts the objects of the file in force."""
        return settingsobjects.Change(settingsobjects.specs_of(self.settings))


def read(path: pathlib.Path) -> result.Result[SettingsFile, Problems]:
    """Read a settings file and check it against the schema."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        detail = f"cannot read the file: {error.strerror}"
        return result.Err([errors.SettingsError(str(path), 0, "", detail)])
    except UnicodeDecodeError as error:
        detail = f"expected UTF-8 text: {error.reason}"
        return result.Err([errors.SettingsError(str(path), 0, "", detail)])
    return parse(str(path), text)


def parse(file: str, text: str) -> result.Result[SettingsFile, Problems]:
    """Parse the text of a settings file and check it against the schema."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = settingslines.syntax_error_line(str(error))
        problem = errors.SettingsError(file, line, "", f"TOML syntax: {error}")
        return result.Err([problem])
    try:
        settings = schema.Settings.model_validate(data)
    except pydantic.ValidationError as error:
        return result.Err(schema_problems(file, text, error))
    return result.Ok(SettingsFile(file, text, settings))


def schema_problems(
    file: str, text: str, error: pydantic.ValidationError
) -> list[errors.SettingsError]:
    """Convert schema errors into errors of a file, sorted by line."""
    lines = settingslines.scan(text)
    file_errors = []
    for detail in error.errors():
        path = tuple(part for part in detail["loc"] if part != "[key]")
        expected = detail["msg"]
        if detail["type"] == "extra_forbidden":
            expected = "expected a known key"
        elif detail["type"] != "missing":
            found_text = repr(detail["input"])[:FOUND_LIMIT_CHARS]
            expected = f"{expected}, found {found_text}"
        file_errors.append(_problem(file, lines, path, expected))
    return sorted(file_errors, key=lambda problem: problem.line)


def check_all(
    settings: schema.Settings, file: str, text: str
) -> list[errors.SettingsError]:
    """Check settings across objects; ``text`` is scanned for line numbers.

    Returns the errors sorted by line.
    """
    problems = settingschecks.problems_of(settings)
    if not problems:
        return []
    lines = settingslines.scan(text)
    file_errors = [
        _problem(file, lines, problem.key_path, problem.expected)
        for problem in problems
    ]
    return sorted(file_errors, key=lambda problem: problem.line)


def _problem(
    file: str,
    lines: abc.Mapping[settingslines.KeyPath, int],
    path: settingslines.KeyPath,
    expected: str,
) -> errors.SettingsError:
    """Build the error at a key path."""
    line = settingslines.line_of(lines, path)
    return errors.SettingsError(file, line, _dotted(path), expected)


def _dotted(path: settingslines.KeyPath) -> str:
    """Format a key path as text, with indexes in brackets."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")
