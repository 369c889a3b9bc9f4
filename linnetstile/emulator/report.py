"""Owns what is said of an experiment's runs: a table of each figure, its fit, its shape and its limit."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from statistics import median

from .experiment import Experiment, Fit
from .fits import Exponent, Line, exponent, grows_faster, line
from .runs import Run


@dataclass(frozen=True, slots=True)
class Row:
    size: int
    middle: float  # median over the seeds
    spread: float  # highest less lowest, as a part of the median


@dataclass(frozen=True, slots=True)
class Finding:
    """What an experiment showed of one figure."""

    fit: Fit
    rows: tuple[Row, ...]
    line: Line | None = None
    exponent: Exponent | None = None
    target: int | None = None
    outgrows: bool = False
    missing: bool = False  # no run gave the figure

    @property
    def failed(self) -> bool:
        """A figure that is not there can't have the shape that was expected of it."""
        return self.outgrows or self.missing

    @property
    def at_target(self) -> float | None:
        return None if self.line is None or self.target is None else self.line.at(self.target)

    @property
    def verdict(self) -> str:
        """Against the limit, at the target, by the fitted line."""
        value, limit = self.at_target, self.fit.limit
        if value is None or limit is None:
            return ""
        spent = value * self.fit.per_s
        if spent <= limit:
            return f"holds by factor {limit / spent:.3g}" if spent > 0 else "holds"
        return f"short by factor {spent / limit:.3g}"


def value_of(run: Run, metric: str) -> float | None:
    value = run.counted.get(metric, run.timed.get(metric))
    return None if value is None else float(value)


def rows(points: Sequence[tuple[int, float]]) -> tuple[Row, ...]:
    found = []
    for size in sorted({size for size, _ in points}):
        values = [value for each, value in points if each == size]
        middle = median(values)
        found.append(Row(size, middle, (max(values) - min(values)) / abs(middle) if middle else 0.0))
    return tuple(found)


def find(fit: Fit, runs: Sequence[Run], target: int | None) -> Finding:
    points = [(run.size, value) for run in runs if (value := value_of(run, fit.metric)) is not None]
    if not points:
        return Finding(fit, (), target=target, missing=True)
    sizes, values = [size for size, _ in points], [value for _, value in points]
    if len(set(sizes)) < 2:
        return Finding(fit, rows(points), target=target, missing=fit.shape is not None)
    outgrows = fit.shape is not None and grows_faster(fit.shape, sizes, values, fit.tolerance)
    return Finding(fit, rows(points), line(sizes, values), exponent(sizes, values), target, outgrows)


def findings(experiment: Experiment, runs: Sequence[Run], target: int | None = None) -> list[Finding]:
    return [find(fit, runs, target or experiment.target) for fit in experiment.fits]


def number(value: float) -> str:
    short = f"{value:.4g}"
    return f"{value:,.0f}" if abs(float(short)) >= 1000 else short


HEADS = (
    "figure",
    "size",
    "median",
    "spread",
    "slope x size",
    "residual",
    "exponent",
    "shape",
    "at target",
    "limit",
    "verdict",
)


def cells(finding: Finding) -> list[list[str]]:
    """A line for each size; what is said of the fit stands on the last."""
    blank = [""] * (len(HEADS) - 4)
    if finding.missing and not finding.rows:
        return [[finding.fit.metric, "", "no run gave it", "", *blank]]
    found = [
        [finding.fit.metric, f"{row.size:,}", number(row.middle), f"{row.spread:.0%}", *blank]
        for row in finding.rows
    ]
    fit, fitted, power, at_target = finding.fit, finding.line, finding.exponent, finding.at_target
    if fitted is None:
        return found
    shape = f"{fit.shape}: {'FAILED' if finding.outgrows else 'ok'}" if fit.shape else ""
    sign = "+" if fitted.intercept >= 0 else "-"
    limit = "" if fit.limit is None else number(fit.limit)
    found[-1][4:] = [
        f"{fitted.slope:.4g} x size {sign} {abs(fitted.intercept):.4g}",
        f"{fitted.residual:.1%}",
        "" if power is None else f"{power.value:.2f} +- {power.standard_error:.2f}",
        shape,
        "" if at_target is None else number(at_target),
        limit,
        finding.verdict,
    ]
    return found


def notes(experiment: Experiment, runs: Sequence[Run], found: Sequence[Finding]) -> list[str]:
    """What the table's figures rest on."""
    said = []
    if experiment.look:
        said.append("A look: its sizes or seeds are not those of the experiment's file.")
    ranges = {(each.line.smallest, each.line.largest) for each in found if each.line is not None}
    for smallest, largest in sorted(ranges):
        of = [
            each.fit.metric
            for each in found
            if each.line and (each.line.smallest, each.line.largest) == (smallest, largest)
        ]
        target = next((each.target for each in found if each.target), None)
        to = f", extrapolated along the line to {target:,}" if target else ""
        said.append(f"Measured over {smallest:,} to {largest:,} ({experiment.vary}){to}: {', '.join(of)}.")
    for fit in [each.fit for each in found if each.fit.limit is not None]:
        times = f" for {fit.per_s:.3g} times the figure" if fit.per_s != 1.0 else ""
        said.append(f"Limit of {fit.metric}{times}: {number(fit.limit or 0.0)}; {fit.why}.")
    said += [f"FAILED run: size {run.size:,}, seed {run.seed}: {run.error}." for run in runs if run.error]
    return said


def text_table(lines: list[list[str]]) -> list[str]:
    widths = [max(len(line[n]) for line in lines) for n in range(len(lines[0]))]
    return [
        "  ".join(
            cell.ljust(width) if n == 0 else cell.rjust(width)
            for n, (cell, width) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in lines
    ]


def markdown_table(lines: list[list[str]]) -> list[str]:
    body = [f"| {' | '.join(line)} |" for line in lines]
    return [body[0], "|" + "---|" * len(lines[0]), *body[1:]]


def table(
    experiment: Experiment, runs: Sequence[Run], target: int | None = None, markdown: bool = False
) -> str:
    """The whole report of one experiment."""
    found = findings(experiment, runs, target)
    lines = [list(HEADS)] + [line for finding in found for line in cells(finding)]
    draw = markdown_table if markdown else text_table
    heading = f"{'## ' * markdown}{experiment.name}: {experiment.vary}, {len(experiment.seeds)} seeds"
    said = [f"- {note}" if markdown else note for note in notes(experiment, runs, found)]
    return "\n".join([heading, "", *draw(lines), "", *said, ""])


def comparison(experiment: Experiment, old: Sequence[Run], new: Sequence[Run], markdown: bool = False) -> str:
    """Each figure that both have: its medians at each size, and the new one as a part of the old."""
    lines = [["figure", "size", "old", "new", "new / old"]]
    for fit in experiment.fits:
        before = {row.size: row.middle for row in find(replace(fit, shape=None), old, None).rows}
        for row in find(replace(fit, shape=None), new, None).rows:
            if row.size in before:
                was = before[row.size]
                part = "same" if was == row.middle else f"{row.middle / was:.3f}" if was else "-"
                lines.append([fit.metric, f"{row.size:,}", number(was), number(row.middle), part])
    draw = markdown_table if markdown else text_table
    return "\n".join([f"{'## ' * markdown}{experiment.name}: {experiment.vary}", "", *draw(lines), ""])
