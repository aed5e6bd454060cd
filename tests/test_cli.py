"""Tests of the command line before a command runs."""

import signal
import typing
from unittest import mock

import testtools

from plantainhook import cli


class StartTest(testtools.TestCase):
    """Check a daemon that still imports its modules."""

    def handler_during_imports(self, command: str) -> typing.Any:
        """Return how SIGHUP is handled while a command is imported."""
        handlers = []

        def record(module: str) -> None:
            handlers.append(signal.getsignal(signal.SIGHUP))

        # The process of the tests may ignore the signal, below nohup.
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        try:
            with mock.patch("importlib.import_module", record):
                cli.import_commands([command])
        finally:
            signal.signal(signal.SIGHUP, before)
        return handlers[0]

    def test_reload_during_the_start(self) -> None:
        """Guard against a daemon that a reload ends while it starts."""
        self.assertIs(signal.SIG_IGN, self.handler_during_imports("forward"))

    def test_other_commands_end_with_their_terminal(self) -> None:
        """Guard against a report that outlives its terminal."""
        self.assertIs(signal.SIG_DFL, self.handler_during_imports("report"))
