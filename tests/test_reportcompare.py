"""Test the comparison with the old system's export, and the commands."""

import contextlib
import decimal
import io
import pathlib
import sys
import tempfile
import typing
from unittest import mock

import testtools

from plantainhook import (
    cli,
    figures,
    messages,
    monthobjects,
    objectapidir,
    reportcompare,
    reportdata,
    requestrecord,
    schema,
    tallies,
)
from tests import aggregationfleet, casefiles

MONTH: typing.Final = figures.Month(2026, 10)


def month_data(case: casefiles.Case) -> reportdata.MonthData:
    """Return the data of a month from the records of a case."""
    sections = {}
    for name, records in case["sections"].items():
        counted = tallies.TallyMap()
        for fields in records:
            counted.record(_record(fields))
        sections[name] = counted.rows()
    gaps = [
        monthobjects.Gap("daemon-1", "0" * 16, from_s, to_s, "month")
        for from_s, to_s in case.get("gaps", [])
    ]
    return reportdata.MonthData(MONTH, sections, gaps)


def _record(fields: dict[str, typing.Any]) -> requestrecord.RequestRecord:
    arrived = fields["arrived"].timestamp()
    return requestrecord.RequestRecord(
        daemon="daemon-1",
        incarnation=1,
        request_id="r",
        kind="tiles",
        request_class="interactive",
        arrived_wall_s=arrived,
        answered_wall_s=arrived + fields.get("wait_s", 0),
        status=requestrecord.Status.COMPLETE,
        coverage_ratio=1.0,
        latency_ms=fields.get("latency_ms", 1.0),
        deadline_met=True,
        resend_of=fields.get("resend_of", ""),
    )


def wrong_comparison(case: casefiles.Case) -> str | None:
    figure = schema.Figure.model_validate(case["figure"])
    text = case["old"]
    value = decimal.Decimal(text) if text else None
    old = reportcompare.OldValue(2, MONTH, "figure", value)
    compared = reportcompare.compare(old, figure, month_data(case))
    if compared.verdict != case["verdict"]:
        return f"{compared.verdict}, new {compared.value.text()}"
    if str(case.get("explained", "")) not in str(compared.explanation):
        return compared.explanation
    return None


def wrong_export_errors(case: casefiles.Case) -> object:
    content = case["content"].encode(case.get("encoding", "utf-8"))
    read = reportcompare.read_export(content, "old.csv", {"requests"})
    lines: list[tuple[int, str]] = []
    if read.is_err():
        lines = [(bad.line, bad.detail) for bad in read.unwrap_err()]
    matches = len(lines) == len(case["errors"]) and all(
        found[0] == wanted[0] and wanted[1] in found[1]
        for found, wanted in zip(lines, case["errors"], strict=True)
    )
    return None if matches else lines


class CompareCasesTest(testtools.TestCase):
    """Check verdicts, explanations and errors by line."""

    def test_comparisons(self) -> None:
        """Guard against differences that are hidden or unexplained."""
        found = casefiles.failures("comparisons", wrong_comparison)
        self.assertEqual([], found)

    def test_bad_exports(self) -> None:
        """Guard against lines that are skipped without an error."""
        found = casefiles.failures("bad_exports", wrong_export_errors)
        self.assertEqual([], found)


def with_source(arguments: tuple[str, ...], source: list[str]) -> list[str]:
    """Put the source arguments between a subcommand and the others."""
    count = 1 if arguments and not arguments[0].startswith("-") else 0
    return [*arguments[:count], *source, *arguments[count:]]


class CommandTest(testtools.TestCase):
    """Check the commands on an exported store."""

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        fleet = aggregationfleet.Fleet()
        daemon = fleet.start()
        fleet.record(daemon, 5)
        fleet.flush(daemon)
        fleet.record(daemon)
        fleet.kill(daemon)
        fleet.finish_all(1)
        objects = [
            fleet.store.stored(key) for key in sorted(fleet.store.objects)
        ]
        objectapidir.save_directory(objects, self.path / "objects")
        self.write(
            "figures.toml",
            '[figure.requests]\nmeasure = "count"\n'
            '[figure.slow]\nmeasure = "latency_percentile"\npercentile = 99\n',
        )
        self.write(
            "records.jsonl",
            b"".join(
                requestrecord.encode_line(record) for record in fleet.records
            ).decode(),
        )

    def write(self, name: str, text: str) -> str:
        path = self.path / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def run_report(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        source = [
            "--from-dir",
            str(self.path / "objects"),
            "--figures",
            str(self.path / "figures.toml"),
        ]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = cli.run(["report", *with_source(arguments, source)])
        return code, out.getvalue(), err.getvalue()

    def test_csv_is_an_export_that_compares_equal(self) -> None:
        """Guard against CSV that differs from the format of the export."""
        code, out, _ = self.run_report("--month", "2026-10", "--format", "csv")
        self.assertEqual(0, code)
        self.assertIn("2026-10,requests,5\n", out)
        old = self.write("old.csv", out)
        code, out, _ = self.run_report("compare", old)
        self.assertEqual(0, code, out)

    def test_difference_fails(self) -> None:
        """Guard against an exit code that hides a difference."""
        old = self.write("old.csv", "month,figure,value\n2026-10,requests,6\n")
        code, out, _ = self.run_report("compare", old)
        self.assertEqual(1, code)
        self.assertIn("old 6, new 5, differs, difference -1", out)

    def test_bad_line_is_named(self) -> None:
        """Guard against an export that is read in part."""
        old = self.write("old.csv", "month,figure,value\n2026-10,requests\n")
        code, out, err = self.run_report("compare", old)
        self.assertEqual((2, ""), (code, out))
        self.assertIn("line 2: expected 3 columns, found 2", err)

    def test_replay_gives_the_same_figures(self) -> None:
        """Guard against a replay that applies other rules."""
        log = str(self.path / "records.jsonl")
        code, out, _ = self.run_report("replay", log, "--month", "2026-10")
        self.assertEqual(0, code)
        self.assertEqual("2026-10 requests 5\n2026-10 slow 500\n", out)

    def test_bad_inputs(self) -> None:
        """Guard against invalid inputs that are read as empty ones."""
        empty = self.path / "empty"
        empty.mkdir()
        log = self.write("bad.jsonl", '{"daemon": 1}\n')
        for arguments, detail in (
            (["--month", "2026-10", "--from-dir", str(empty)], "no exported"),
            (["replay", log, "--month", "2026-10"], "line 1"),
            (["compare", str(empty / "old.csv")], "No such file"),
            ([], "--month is required"),
        ):
            code, out, err = self.run_report(*arguments)
            self.assertEqual((2, ""), (code, out))
            self.assertIn(detail, err)

    def test_page_with_plots(self) -> None:
        """Guard against plots that share ids or lack a title."""
        page = self.page()
        self.assertEqual(3, page.count("<svg"))
        self.assertIn("Requests by UTC day", page)
        self.assertNotIn('id="figure_1"', page)

    def test_page_without_matplotlib(self) -> None:
        """Guard against a page that fails without the optional extra."""
        with mock.patch.dict(sys.modules, {"matplotlib.figure": None}):
            page = self.page()
        self.assertNotIn("<svg", page)
        self.assertIn(messages.PLOTS_MISSING.split(";")[0], page)
        self.assertIn("<td>requests</td>", page)

    def page(self) -> str:
        target = self.path / "page.html"
        code, _, err = self.run_report(
            "--month", "2026-10", "--html", str(target)
        )
        self.assertEqual((0, ""), (code, err))
        return target.read_text(encoding="utf-8")


class DefinitionTest(testtools.TestCase):
    """Check the validation of figure definitions."""

    def test_bad_definitions(self) -> None:
        """Guard against accepting definitions with meaningless rules."""
        bad = [
            {"measure": "count", "percentile": 99},
            {"measure": "latency_percentile"},
            {"measure": "latency_percentile", "percentile": 0},
            {"measure": "count", "time_zone": "Mars/Olympus"},
            {"measure": "count", "time_zone": "../zone"},
            {"measure": "count", "digits": 10},
            {"measure": "mean"},
        ]
        for fields in bad:
            self.assertRaises(ValueError, schema.Figure.model_validate, fields)
