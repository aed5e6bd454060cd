"""Format the report of a month as an HTML page with plots as inline SVG.

matplotlib draws the plots. It is optional (``pip install
plantainhook[plots]``); without it the page contains only the tables and says
so.
"""

import dataclasses
import html
import importlib
import io
import re
import typing

from plantainhook import (
    figures,
    messages,
    report,
    reportdata,
    tallies,
    tallystore,
)

PERCENTILES: typing.Final = (50, 99)
WIDTH_INCHES: typing.Final = 9.0
HEIGHT_INCHES: typing.Final = 3.2
# Height of a horizontal bar including its label.
BAR_INCHES: typing.Final = 0.25
ID_PATTERN: typing.Final = re.compile(r"""(\bid="|href="#|url\(#)""")

PAGE: typing.Final = """<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Figures of {month}</title>
<style>
body {{ font-family: sans-serif; max-width: 60em; margin: 2em auto; }}
table {{ border-collapse: collapse; }}
th, td {{ border-bottom: 1px solid #ccc; padding: 0.3em 0.8em; }}
td.number {{ text-align: right; font-variant-numeric: tabular-nums; }}
svg {{ max-width: 100%; height: auto; }}
</style>
</head>
<body>
<h1>Figures of {month}</h1>
<p>{state}</p>
{table}
<h2>Gaps</h2>
{gaps}
<h2>Plots</h2>
{plots}
</body>
</html>
"""


@dataclasses.dataclass(frozen=True, slots=True)
class DayCounts:
    """Represent the requests of a UTC day by outcome."""

    day: str
    complete_count: int
    partial_count: int
    refused_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class KindPercentiles:
    """Represent percentiles of one request kind.

    ``latency_ms`` and ``coverage_ratio`` have one value per entry of
    ``PERCENTILES``. The coverage is the one that this percentage of the
    answers reaches or exceeds.
    """

    kind: str
    latency_ms: tuple[float, ...]
    coverage_ratio: tuple[float, ...]


def as_html(
    current: report.Report,
    previous: report.Report,
    data: reportdata.MonthData,
) -> str:
    """Return the page of a month, compared with the previous month."""
    state = "The month is open; the figures are preliminary."
    if current.closed_wall_s:
        state = f"Closed {report.utc_text(current.closed_wall_s)}."
    return PAGE.format(
        month=current.month,
        state=state,
        table=_table(current, previous),
        gaps=_gap_list(current),
        plots=_plots(current, previous, data),
    )


def _table(current: report.Report, previous: report.Report) -> str:
    previous_values = {line.name: line.value.text() for line in previous.lines}
    rows = [
        _row(
            line.name,
            str(line.figure.measure),
            line.figure.time_zone,
            line.value.text(),
            line.corrections[-1].value.text() if line.corrections else "",
            previous_values.get(line.name, "-"),
        )
        for line in current.lines
    ]
    head = "".join(
        f"<th>{title}</th>"
        for title in (
            "figure",
            "measure",
            "time zone",
            str(current.month),
            "corrected",
            str(previous.month),
        )
    )
    return f"<table><tr>{head}</tr>\n" + "\n".join(rows) + "</table>"


def _row(name: str, measure: str, zone: str, *values: str) -> str:
    texts = "".join(
        f"<td>{html.escape(t)}</td>" for t in (name, measure, zone)
    )
    numbers = "".join(
        f'<td class="number">{html.escape(value)}</td>' for value in values
    )
    return f"<tr>{texts}{numbers}</tr>"


def _gap_list(current: report.Report) -> str:
    if not current.gaps:
        return "<p>No gaps.</p>"
    items = "".join(
        f"<li>{html.escape(report.gap_text(gap))}</li>" for gap in current.gaps
    )
    return f"<ul>{items}</ul>"


def _plots(
    current: report.Report, previous: report.Report, data: reportdata.MonthData
) -> str:
    try:
        importlib.import_module("matplotlib.figure")
        importlib.import_module("matplotlib.backends.backend_svg")
    except ImportError:
        return f"<p>{html.escape(messages.PLOTS_MISSING)}</p>"
    rows = _utc_month_rows(data)
    kinds = kind_percentiles(rows)
    return "\n".join(
        [
            _plot("Requests by UTC day", _draw_days, day_counts(rows)),
            _plot("Latency by kind", _draw_latency, kinds),
            _plot("Coverage by kind", _draw_coverage, kinds),
            _plot(
                f"{current.month} as a share of {previous.month}",
                _draw_changes,
                monthly_changes(current, previous),
            ),
        ]
    )


def _utc_month_rows(data: reportdata.MonthData) -> tallystore.Rows:
    rows = data.uncorrected_rows() + data.rows(data.correction_days())
    quarter_hours = figures.month_range(data.month, "UTC")
    return [row for row in rows if quarter_hours.contains(row.arrival_slice)]


def day_counts(rows: tallystore.Rows) -> list[DayCounts]:
    """Return the requests of each UTC day of arrival by outcome."""
    by_day = tallystore.rows_by_day(rows)
    return [
        DayCounts(
            day,
            sum(row.complete_count for row in by_day[day]),
            sum(row.partial_count for row in by_day[day]),
            sum(row.refused_count for row in by_day[day]),
        )
        for day in sorted(by_day)
    ]


def kind_percentiles(rows: tallystore.Rows) -> list[KindPercentiles]:
    """Return the percentiles of each request kind that has answers."""
    percentiles = []
    for kind in sorted({row.kind for row in rows}):
        latency = tallies.Histogram(tallies.LATENCY_LIMIT_US)
        shortfall = tallies.Histogram(tallies.SHORTFALL_LIMIT_PPM)
        for row in rows:
            if row.kind == kind:
                latency.merge_encoded(row.latency)
                shortfall.merge_encoded(row.shortfall)
        if latency.count():
            percentiles.append(_kind_percentiles(kind, latency, shortfall))
    return percentiles


def _kind_percentiles(
    kind: str, latency: tallies.Histogram, shortfall: tallies.Histogram
) -> KindPercentiles:
    latency_at, shortfall_at = (
        latency.value_at_ranks(),
        shortfall.value_at_ranks(),
    )
    ranks = [
        max(1, -(-percent * latency.count() // 100)) for percent in PERCENTILES
    ]
    return KindPercentiles(
        kind,
        tuple(latency_at(rank) / tallies.US_PER_MS for rank in ranks),
        tuple(1 - shortfall_at(rank) / report.PPM for rank in ranks),
    )


def monthly_changes(
    current: report.Report, previous: report.Report
) -> list[tuple[str, float]]:
    """Return the ratio of each figure to its value in the previous month.

    Figures without a value in either month, or with 0 in the previous one, are
    left out.
    """
    before = {line.name: line.value.exact for line in previous.lines}
    return [
        (line.name, line.value.exact / reference)
        for line in current.lines
        if line.value.exact is not None
        and (reference := before.get(line.name))
    ]


def _plot(
    title: str,
    draw: typing.Callable[[typing.Any, typing.Any], None],
    values: typing.Any,
) -> str:
    if not values:
        return f"<p>{html.escape(title)}: no values.</p>"
    matplotlib = importlib.import_module("matplotlib")
    plot = matplotlib.figure.Figure(
        figsize=(WIDTH_INCHES, _height_inches(values)), layout="constrained"
    )
    axes = plot.subplots()
    axes.set_title(title)
    draw(axes, values)
    stream = io.StringIO()
    # A fixed salt and no date make the output reproducible.
    with matplotlib.rc_context({"svg.hashsalt": title}):
        plot.savefig(stream, format="svg", metadata={"Date": None})
    svg = stream.getvalue()
    return _with_unique_ids(svg[svg.index("<svg") :], title)


def _height_inches(values: typing.Any) -> float:
    is_horizontal = isinstance(values[0], tuple)
    bars_inches = BAR_INCHES * len(values) if is_horizontal else 0.0
    return max(HEIGHT_INCHES, bars_inches)


def _with_unique_ids(svg: str, title: str) -> str:
    """Prefix all ids, which several SVG images of a page would share."""
    prefix = re.sub(r"[^a-z0-9]+", "-", title.lower())
    return ID_PATTERN.sub(rf"\g<1>{prefix}-", svg)


def _draw_days(axes: typing.Any, days: list[DayCounts]) -> None:
    labels = [str(int(item.day[-2:])) for item in days]
    bottom = [0] * len(days)
    for name, color in (
        ("complete", "tab:blue"),
        ("partial", "tab:orange"),
        ("refused", "tab:red"),
    ):
        counts = [getattr(item, f"{name}_count") for item in days]
        axes.bar(labels, counts, bottom=bottom, label=name, color=color)
        bottom = [
            low + count for low, count in zip(bottom, counts, strict=True)
        ]
    axes.tick_params(axis="x", labelsize="small")
    axes.set_xlabel("day")
    axes.set_ylabel("requests")
    _draw_legend(axes)


def _draw_legend(axes: typing.Any) -> None:
    axes.legend(loc="upper left", bbox_to_anchor=(1.01, 1.0))


def _draw_latency(axes: typing.Any, kinds: list[KindPercentiles]) -> None:
    _draw_bars(axes, kinds, [item.latency_ms for item in kinds])
    axes.set_yscale("log")
    axes.set_ylabel("answered within, ms")


def _draw_coverage(axes: typing.Any, kinds: list[KindPercentiles]) -> None:
    _draw_bars(axes, kinds, [item.coverage_ratio for item in kinds])
    axes.set_ylim(0, 1.05)
    axes.set_ylabel("coverage at least")


def _draw_bars(
    axes: typing.Any,
    kinds: list[KindPercentiles],
    values: list[tuple[float, ...]],
) -> None:
    width = 0.8 / len(PERCENTILES)
    for number, percent in enumerate(PERCENTILES):
        positions = [index + number * width for index in range(len(kinds))]
        heights = [value[number] for value in values]
        axes.bar(positions, heights, width, label=f"{percent} % of answers")
    middle = width * (len(PERCENTILES) - 1) / 2
    axes.set_xticks(
        [index + middle for index in range(len(kinds))],
        [item.kind for item in kinds],
    )
    _draw_legend(axes)


def _draw_changes(axes: typing.Any, changes: list[tuple[str, float]]) -> None:
    names = [name for name, _ in changes]
    axes.barh(names, [ratio for _, ratio in changes])
    axes.axvline(1.0, color="black", linewidth=1)
    axes.invert_yaxis()
