"""Cases of tests that are data in TOML files."""

import pathlib
import tomllib
import typing

DATA_DIRECTORY: typing.Final = pathlib.Path(__file__).parent.parent.joinpath(
    "test-data"
)


def load(name: str) -> dict[str, typing.Any]:
    """Return a file of cases."""
    path = DATA_DIRECTORY / f"{name}.toml"
    return tomllib.loads(path.read_text(encoding="utf-8"))
