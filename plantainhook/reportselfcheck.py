"""Check the monthly figures of a simulated month against a replay.

Every request that the simulated daemons answer is written to a log. The
figures from segments and aggregation are compared with a replay of that log.
Records that fall into the reported gaps are left out of the replay.
"""

import dataclasses
import pathlib
import tempfile
import typing

import result
import tomlkit
import trio
import trio.testing

from plantainhook import (
    figures,
    monthobjects,
    objectapidir,
    report,
    reportdata,
    reportreplay,
    requestrecord,
    schema,
    selfchecksim,
)

MONTH: typing.Final = figures.Month(2026, 10)
# Daylight saving time ends in Helsinki on 25 October 2026; Seoul has none.
ZONES: typing.Final = ("Europe/Helsinki", "Asia/Seoul")


@dataclasses.dataclass(slots=True)
class SelfCheckOutcome:
    """Report what a run compared and what differed.

    ``lost_count`` is the number of records that fall into gaps, and
    ``corrected_count`` the number of figures that have corrections.
    """

    record_count: int = 0
    lost_count: int = 0
    gap_count: int = 0
    killed_count: int = 0
    figure_count: int = 0
    corrected_count: int = 0
    differences: list[str] = dataclasses.field(default_factory=list)


def definitions() -> dict[str, schema.Figure]:
    """Return figure definitions that use every measure and every rule."""
    by_name: dict[str, schema.Figure] = {}
    for zone in ZONES:
        for name, fields in _FIGURES.items():
            full_name = f"{name}-{zone.rsplit('/', 1)[1].lower()}"
            by_name[full_name] = schema.Figure.model_validate(
                {"time_zone": zone, **fields}
            )
    return by_name


_FIGURES: typing.Final[dict[str, dict[str, typing.Any]]] = {
    "requests": {"measure": "count"},
    "requests-answered": {"measure": "count", "counted_at": "answer"},
    "requests-once": {"measure": "count", "resends": "once"},
    "complete": {"measure": "complete", "request_kinds": ["tiles"]},
    "partial": {"measure": "partial", "counted_at": "answer"},
    "refused": {"measure": "refused"},
    "urgent": {"measure": "urgent_within_deadline"},
    "archive": {
        "measure": "archive_served",
        "counted_at": "answer",
        "resends": "once",
    },
    "latency-p99": {
        "measure": "latency_percentile",
        "percentile": "99",
        "digits": 1,
    },
    "latency-p50": {
        "measure": "latency_percentile",
        "percentile": "50",
        "percentile_method": "linear",
        "request_kinds": ["tiles", "corrections"],
        "resends": "once",
        "digits": 3,
        "rounding": "half_even",
    },
    "coverage-p2": {
        "measure": "coverage_percentile",
        "percentile": "2",
        "percentile_method": "linear",
        "digits": 4,
    },
}


def run_selfcheck(
    seed: int,
    request_count: int,
    tick_s: float,
    keep: pathlib.Path | None = None,
) -> SelfCheckOutcome:
    """Simulate a month and compare its figures with a replay of the log.

    This takes minutes for a million requests. ``keep`` is a directory that
    receives the log of records, the stored objects and the definitions.
    """
    plan = selfchecksim.Plan(MONTH, seed, request_count, tick_s=tick_s)
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        outcome, simulation = _run(plan, keep)
        _export(simulation, keep)
        return outcome
    with tempfile.TemporaryDirectory() as directory:
        return _run(plan, pathlib.Path(directory))[0]


def _run(
    plan: selfchecksim.Plan, directory: pathlib.Path
) -> tuple[SelfCheckOutcome, selfchecksim.Simulation]:
    log = directory / "records.jsonl"
    simulation = _simulate(plan, log)
    return _compare(simulation, log), simulation


def _export(
    simulation: selfchecksim.Simulation, directory: pathlib.Path
) -> None:
    store = simulation.store
    objects = [store.stored(key) for key in sorted(store.objects)]
    objectapidir.save_directory(objects, directory / "objects")
    tables = {
        name: figure.model_dump(mode="json", exclude_none=True)
        for name, figure in definitions().items()
    }
    text = tomlkit.dumps({"figure": tables})
    (directory / "figures.toml").write_text(text, encoding="utf-8")


def _simulate(
    plan: selfchecksim.Plan, log: pathlib.Path
) -> selfchecksim.Simulation:
    with log.open("wb") as stream:

        def write(record: requestrecord.RequestRecord) -> None:
            stream.write(requestrecord.encode_line(record))

        simulation = selfchecksim.Simulation(plan, write)
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(simulation.run, clock=clock)
    return simulation


def _compare(
    simulation: selfchecksim.Simulation, log: pathlib.Path
) -> SelfCheckOutcome:
    outcome = SelfCheckOutcome(record_count=simulation.record_count)
    simulation.store.lost_ratio = 0.0
    figure_definitions = definitions()
    months = [MONTH.shift(-1), MONTH, MONTH.shift(1)]
    reports = {}
    gaps: set[monthobjects.Gap] = set()
    for month in months:
        read = trio.run(reportdata.read_month, simulation.store, month)
        if isinstance(read, result.Err):
            outcome.differences.append(str(read.err_value))
            return outcome
        gaps.update(read.ok_value.gaps)
        reports[month] = report.build_report(read.ok_value, figure_definitions)
    _compare_gaps(simulation, gaps, outcome)
    expected = _replay(log, months, figure_definitions, gaps, outcome)
    for month, month_report in reports.items():
        for line in month_report.lines:
            _compare_line(line, month, expected[month, line.name], outcome)
    return outcome


def _compare_gaps(
    simulation: selfchecksim.Simulation,
    gaps: set[monthobjects.Gap],
    outcome: SelfCheckOutcome,
) -> None:
    gap_ends = {gap.incarnation: gap.to_wall_s for gap in gaps}
    killed = {
        name: dead.gone_wall_s for name, dead in simulation.killed.items()
    }
    outcome.gap_count = len(gaps)
    outcome.killed_count = len(killed)
    if gap_ends != killed or len(gaps) != len(killed):
        mismatches = sorted(gap_ends.items() ^ killed.items())
        outcome.differences.append(
            f"gaps differ from the killed daemons: {mismatches}"
        )


def _replay(
    log: pathlib.Path,
    months: list[figures.Month],
    figure_definitions: dict[str, schema.Figure],
    gaps: set[monthobjects.Gap],
    outcome: SelfCheckOutcome,
) -> dict[tuple[figures.Month, str], report.FigureValue]:
    index = reportreplay.GapIndex(gaps)
    with log.open("rb") as stream:
        outcome.lost_count = sum(
            index.contains(record)
            for record in requestrecord.read_lines(stream, str(log))
        )
    with log.open("rb") as stream:
        return reportreplay.replay(
            requestrecord.read_lines(stream, str(log)),
            months,
            figure_definitions,
            gaps,
        )


def _compare_line(
    line: report.ReportLine,
    month: figures.Month,
    expected: report.FigureValue,
    outcome: SelfCheckOutcome,
) -> None:
    value = line.value
    if line.corrections:
        outcome.corrected_count += 1
        value = line.corrections[-1].value
    outcome.figure_count += 1
    if not within_resolution(value, expected):
        outcome.differences.append(
            f"{month} {line.name}: {value.exact} differs from "
            f"{expected.exact} by more than {value.resolution}"
        )


def within_resolution(
    value: report.FigureValue, expected: report.FigureValue
) -> bool:
    """Return whether a figure equals its replay within its resolution."""
    if value.exact is None or expected.exact is None:
        return value.exact is expected.exact
    difference = abs(value.exact - expected.exact)
    # The margin allows for rounding errors of binary floating point.
    return difference <= value.resolution * (1 + 1e-9)


def summary_text(seed: int, outcome: SelfCheckOutcome) -> str:
    """Return one line about a run and one line for each difference."""
    verdict = "differs" if outcome.differences else "equal"
    lines = [
        f"seed {seed}: {outcome.record_count} records, "
        f"{outcome.lost_count} of them in {outcome.gap_count} gaps of "
        f"{outcome.killed_count} killed daemons; {outcome.figure_count} "
        f"figures, {outcome.corrected_count} with corrections: {verdict}"
    ]
    lines.extend(f"  {difference}" for difference in outcome.differences)
    return "\n".join(lines) + "\n"
