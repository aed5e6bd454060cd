"""Check of the import rule: modules are imported, not names."""

import ast
import importlib
import pathlib
import typing

import testtools

ROOT: typing.Final = pathlib.Path(__file__).parent.parent


def imported_names(path: pathlib.Path) -> list[str]:
    """Return every ``from X import Y`` of a file whose Y is not a module."""
    found = []
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        for alias in node.names:
            name = f"{node.module}.{alias.name}"
            try:
                importlib.import_module(name)
            except ModuleNotFoundError:
                found.append(f"{path.name}:{node.lineno}: {name}")
    return found


class ImportRuleTest(testtools.TestCase):
    """Check every source file."""

    def test_modules_only(self) -> None:
        """Guard against names that are used without their module."""
        sources = [*ROOT.glob("plantainhook/*.py"), *ROOT.glob("tests/*.py")]
        found = [name for path in sources for name in imported_names(path)]
        self.assertEqual([], found)
