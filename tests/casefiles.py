"""Helpers for data-driven tests: run a check on each case of a TOML file."""

import pathlib
import tomllib
import typing
from collections import abc

DIRECTORY: typing.Final = pathlib.Path(__file__).parent.parent / "test-data"

Case = dict[str, typing.Any]


def load(name: str) -> list[Case]:
    """Return the cases of a file.

    Raises ValueError if there are none, so that no test passes unnoticed on
    an empty file.
    """
    with (DIRECTORY / f"{name}.toml").open("rb") as stream:
        cases: list[Case] = tomllib.load(stream)["case"]
    if not cases:
        raise ValueError(f"{name}.toml has no cases")
    return cases


def failures(name: str, check: abc.Callable[[Case], object]) -> list[str]:
    """Run a check on all cases of a file and return the failures as text.

    The check returns None for a case that passes, and otherwise a
    description of the failure.
    """
    found = []
    for number, case in enumerate(load(name), start=1):
        outcome = check(case)
        if outcome is not None:
            label = case.get("name", f"number {number}")
            found.append(f"{name}: {label}: {outcome}")
    return found
