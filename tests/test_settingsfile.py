"""Tests of settings files and of the rules that result from them."""

import dataclasses
import pathlib
import typing

import result
import testtools

from plantainhook import (
    errors,
    revisions,
    settingsfile,
    settingsobjects,
    settingstree,
)
from tests import datacases


def problems_of(text: str) -> list[errors.SettingsError]:
    """Return every error of a settings file."""
    parsed = settingsfile.parse("f.toml", text)
    if isinstance(parsed, result.Err):
        return list(parsed.err_value)
    return settingsfile.check_all(parsed.ok_value.settings, "f.toml", text)


class SettingsFileTest(testtools.TestCase):
    """Run the cases of ``settingsfile.toml``."""

    def test_cases(self) -> None:
        """Guard against errors that are missing or name the wrong line."""
        for case in datacases.load("settingsfile")["case"]:
            found = problems_of(case["text"])
            self.assertEqual(
                len(case["errors"]), len(found), f"{case['name']}: {found}"
            )
            for wanted, problem in zip(case["errors"], found, strict=True):
                line, key_path, expected = wanted.split(": ", 2)
                position = (problem.line, problem.key_path)
                self.assertEqual((int(line), key_path), position, case["name"])
                self.assertIn(expected, problem.expected)

    def test_file_that_cannot_be_read(self) -> None:
        """Guard against a traceback if the file does not exist."""
        loaded = settingsfile.read(pathlib.Path("/nonexistent.toml"))
        problem = loaded.unwrap_err()[0]
        self.assertIn("cannot read the file", problem.expected)

    def test_specs_survive_a_round_trip(self) -> None:
        """Guard against specs with values that no operator wrote."""
        text = datacases.load("settingstree")["settings"]
        settings = settingsfile.parse("f", text).unwrap().settings
        specs = settingsobjects.specs_of(settings)
        self.assertEqual(
            {"deadline_ms": 900, "hedge_delay_ms": 20}, specs["defaults"]
        )
        tree = settingsobjects.tree_of(specs)
        self.assertEqual(settings, type(settings).model_validate(tree))

    def test_update_equals_a_full_build(self) -> None:
        """Guard against an update that differs from a full build."""
        data = datacases.load("settingstree")
        old = settingsfile.parse("f", data["settings"]).unwrap().change()
        changes = [
            settingsobjects.Change(
                {"request_kind/grid": {}, "target/t": {"groups": ["g"]}}
            ),
            settingsobjects.Change({"share_plan": {"share_count": 9}}),
            settingsobjects.Change(
                {}, frozenset(["defaults", "service/maps"])
            ),
        ]
        info = revisions.Info(1, "anna", 0.0, "r")
        records = settingsobjects.change_records({}, old, info)
        settings = settingsobjects.settings_of(records)
        for change in changes:
            after = settingsobjects.change_records(records, change, info)
            updated = settingsobjects.settings_after(settings, records, after)
            self.assertEqual(settingsobjects.settings_of(after), updated)
            records, settings = after, updated


class SettingsTreeTest(testtools.TestCase):
    """Run the cases of ``settingstree.toml``."""

    def test_cases(self) -> None:
        """Guard against wrong precedence of levels or a wrong origin."""
        data = datacases.load("settingstree")
        settings = settingsfile.parse("f", data["settings"]).unwrap().settings
        for case in data["case"]:
            context = settingstree.RuleContext(**case["place"])
            rules: dict[str, typing.Any] = dataclasses.asdict(
                settingstree.resolve(
                    settings,
                    context.data_centre,
                    context.service,
                    context.kind,
                )
            )
            explained = settingstree.explain(settings, {}, context)
            origins = {e.rule: [e.value, e.level] for e in explained}
            for rule, expected in case["expected"].items():
                self.assertEqual(expected, origins[rule], case["name"])
                self.assertEqual(expected[0], rules[rule], case["name"])
