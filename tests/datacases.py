"""Load TOML files of test cases whose layout the test defines."""

import pathlib
import tomllib
import typing

DATA_DIRECTORY: typing.Final = pathlib.Path(__file__).parent.parent.joinpath(
    "test-data"
)


def load(name: str) -> dict[str, typing.Any]:
    """Return the content of a file in ``test-data``."""
    path = DATA_DIRECTORY / f"{name}.toml"
    return tomllib.loads(path.read_text(encoding="utf-8"))
