"""Tests of the command ``plantainhook settings``."""

import contextlib
import io
import pathlib
import tempfile
import typing
from collections import abc
from unittest import mock

import testtools

from plantainhook import cli, objectapifake, objectapihttp
from tests import datacases


class CommandsSettingsTest(testtools.TestCase):
    """Run the cases of ``commands_settings.toml``."""

    def test_cases(self) -> None:
        """Guard against wrong exit codes, wrong output and tracebacks."""
        for case in datacases.load("commands_settings")["case"]:
            self.run_case(case)

    def test_no_platform(self) -> None:
        """Guard against a traceback if the platform does not listen."""
        code, _, err = self.run_command(
            ["settings", "show", "--platform", "http://127.0.0.1:1"]
        )
        self.assertEqual(1, code, err)
        self.assertIn("error: settings.notice (http://127.0.0.1:1): ", err)

    def run_case(self, case: dict[str, typing.Any]) -> None:
        """Run the steps of a case with an empty object API."""
        api = objectapifake.FakeObjectApi()

        @contextlib.asynccontextmanager
        async def open_fake(
            *arguments: object,
        ) -> abc.AsyncIterator[objectapifake.FakeObjectApi]:
            yield api

        with (
            tempfile.TemporaryDirectory() as directory,
            contextlib.chdir(directory),
            mock.patch.object(objectapihttp, "open_object_api", open_fake),
        ):
            for name, text in case["files"].items():
                pathlib.Path(name).write_text(text, encoding="utf-8")
            for step in case["steps"]:
                api.faults.outage = step.get("down", False)
                self.run_step(f"{case['name']}: {step['run']}", step)

    def run_step(self, name: str, step: dict[str, typing.Any]) -> None:
        """Run a command and compare its exit code and output."""
        code, out, err = self.run_command(["settings", *step["run"].split()])
        self.assertEqual(step.get("code", 0), code, f"{name}: {out}{err}")
        self.assertNotIn("Traceback", err)
        for part in step.get("out", []):
            self.assertIn(part, out, name)
        for part in step.get("err", []):
            self.assertIn(part, err, name)

    def run_command(self, argv: list[str]) -> tuple[int, str, str]:
        """Return the exit code, the output and the errors of a command."""
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                code = cli.run(argv)
            except SystemExit as stop:
                code = int(stop.code or 0)
        return code, out.getvalue(), err.getvalue()
