"""Run the examples, so that they stay up to date."""

import importlib.util
import pathlib
import typing

import testtools
import trio
import trio.testing

EXAMPLES: typing.Final = pathlib.Path(__file__).parent.parent / "examples"


class ExamplesTest(testtools.TestCase):
    """Run each example on a virtual clock."""

    def test_embed_lease(self) -> None:
        """Guard against an example that no longer runs."""
        path = EXAMPLES / "embed_lease.py"
        spec = importlib.util.spec_from_file_location("embed_lease", path)
        assert spec is not None
        assert spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(module.main, clock=clock)
