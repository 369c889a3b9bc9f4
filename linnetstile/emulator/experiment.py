"""Owns the experiment file: one TOML file that says what is measured, over which sizes, and what is expected.

name = "list_drain"
measure = "list_drain"              # see `python -m linnetstile.emulator measures`
vary = "endpoints listed"           # what the size stands for
sizes = [1000, 3000, 10000, 30000]  # four at least
seeds = [1, 2, 3]                   # three at least
timeout_s = 60.0                    # of one run
total_timeout_s = 180.0             # of all: what is not begun by then is reported as not run
timed = true                        # reads the machine's clock: its runs go one at a time
target = 250000                     # the size that figures are extrapolated to; optional

[params]                            # the measure's fixed figures; optional
endpoints_each = 2.5

[[fit]]                             # one at least
metric = "handle_opcodes"
shape = "linear"                    # a check: it fails if the figure grows faster; optional
tolerance = 0.15                    # of the exponent; optional
limit = 20000.0                     # what the figure, `per_s` times, may be at the target; optional
per_s = 1.0                         # optional
why = "2 % of a core at one change a second"  # says where the limit comes from; needed with one
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

SIZES, SEEDS = 4, 3  # fewer show neither a shape nor a spread
LOOK_SIZES, LOOK_SEEDS = 2, 1  # asked for on the command line: a look, and it is reported as one
TOLERANCE = 0.15  # of an exponent: a constant part and rounding bend a line by less
NAME = re.compile(r"[a-z][a-z0-9_]{0,63}")
SHAPES: dict[str, Callable[[float], float]] = {
    "flat": lambda n: 1.0,
    "log": lambda n: math.log(n + 1),
    "sqrt": math.sqrt,
    "linear": lambda n: n,
    "nlogn": lambda n: n * math.log(n + 1),
    "quadratic": lambda n: n * n,
}


class ExperimentError(ValueError):
    """An experiment file cannot be used; the text names the field and says why."""


@dataclass(frozen=True, slots=True)
class Fit:
    """One figure of the measure: how it may grow, and what it may come to."""

    metric: str
    shape: str | None = None
    tolerance: float = TOLERANCE
    limit: float | None = None
    per_s: float = 1.0
    why: str = ""


@dataclass(frozen=True, slots=True)
class Experiment:
    name: str
    measure: str
    vary: str
    sizes: tuple[int, ...]
    seeds: tuple[int, ...]
    timeout_s: float
    total_timeout_s: float
    fits: tuple[Fit, ...]
    params: Mapping[str, Any]
    timed: bool = False
    target: int | None = None
    look: bool = False  # with other sizes or seeds than the file's

    def as_json(self) -> dict[str, Any]:
        return asdict(self)


class Fields:
    """A table of the file, read field by field; what is left over at the end is an error."""

    def __init__(self, table: Mapping[str, Any], where: str = "") -> None:
        self.table, self.where, self.seen = table, where, set[str]()

    def error(self, field: str, text: str) -> ExperimentError:
        return ExperimentError(f"{self.where}{field}: {text}")

    def get(self, field: str, default: Any = None, needed: bool = False) -> Any:
        self.seen.add(field)
        if field not in self.table and needed:
            raise self.error(field, "is missing")
        return self.table.get(field, default)

    def text(self, field: str, needed: bool = True) -> str:
        value = self.get(field, "", needed)
        if not isinstance(value, str) or needed and not value.strip():
            raise self.error(field, f"a text is needed, not {value!r}")
        return value

    def number(self, field: str, default: float | None = None, needed: bool = False) -> float | None:
        """Above 0 and finite."""
        value = self.get(field, default, needed)
        if value is None:
            return None
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
            raise self.error(field, f"a number above 0 is needed, not {value!r}")
        return float(value)

    def flag(self, field: str) -> bool:
        value = self.get(field, False)
        if not isinstance(value, bool):
            raise self.error(field, f"true or false is needed, not {value!r}")
        return value

    def whole_numbers(self, field: str, at_least: int, lowest: int) -> tuple[int, ...]:
        return whole_numbers(self.get(field, needed=True), self.where + field, at_least, lowest)

    def done(self) -> None:
        for field in self.table:
            if field not in self.seen:
                raise self.error(field, f"is not known; known are {', '.join(sorted(self.seen))}")


def whole_numbers(value: object, where: str, at_least: int, lowest: int) -> tuple[int, ...]:
    """A list of different whole numbers, in rising order."""
    if not isinstance(value, list) or any(isinstance(n, bool) or not isinstance(n, int) for n in value):
        raise ExperimentError(f"{where}: a list of whole numbers is needed, not {value!r}")
    if len(value) < at_least:
        raise ExperimentError(f"{where}: {at_least} at least are needed, not {len(value)}")
    if min(value) < lowest:
        raise ExperimentError(f"{where}: {min(value)} is too low; {lowest} is the lowest")
    if sorted(set(value)) != value:
        raise ExperimentError(f"{where}: has to rise, with none twice")
    return tuple(value)


def experiment_from(text: str, sizes: list[int] | None = None, seeds: list[int] | None = None) -> Experiment:
    """Reads the text of a file; `sizes` and `seeds` go before what it says, for a look."""
    try:
        return read(tomllib.loads(text), sizes, seeds)
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError(f"not TOML: {error}") from error


def read(
    table: Mapping[str, Any], sizes: list[int] | None = None, seeds: list[int] | None = None
) -> Experiment:
    fields = Fields(table)
    name, target = fields.text("name"), fields.get("target")
    if not NAME.fullmatch(name):
        raise fields.error("name", f"{name!r} has to be lower case letters, digits and _")
    if target is not None and (isinstance(target, bool) or not isinstance(target, int) or target < 1):
        raise fields.error("target", f"a whole number of 1 or more is needed, not {target!r}")
    params = fields.get("params", {})
    if not isinstance(params, dict):
        raise fields.error("params", f"a table is needed, not {params!r}")
    told_sizes, told_seeds = fields.whole_numbers("sizes", SIZES, 1), fields.whole_numbers("seeds", SEEDS, 0)
    found = Experiment(
        name,
        fields.text("measure"),
        fields.text("vary"),
        whole_numbers(sizes, "--sizes", LOOK_SIZES, 1) if sizes is not None else told_sizes,
        whole_numbers(seeds, "--seeds", LOOK_SEEDS, 0) if seeds is not None else told_seeds,
        fields.number("timeout_s", needed=True) or 0.0,
        fields.number("total_timeout_s", needed=True) or 0.0,
        fits_from(fields.get("fit", needed=True), target),
        params,
        fields.flag("timed"),
        target,
        sizes is not None or seeds is not None,
    )
    fields.done()
    return found


def fits_from(raw: object, target: int | None) -> tuple[Fit, ...]:
    if not isinstance(raw, list) or not raw or not all(isinstance(each, dict) for each in raw):
        raise ExperimentError("fit: one [[fit]] table at least is needed")
    fits = tuple(fit_from(Fields(table, f"fit {n}: "), target) for n, table in enumerate(raw, 1))
    metrics = [fit.metric for fit in fits]
    for metric in metrics:
        if metrics.count(metric) > 1:
            raise ExperimentError(f"fit: {metric} is named twice")
    return fits


def fit_from(fields: Fields, target: int | None) -> Fit:
    shape, limit = fields.get("shape"), fields.number("limit")
    if shape is not None and shape not in list(SHAPES):
        raise fields.error("shape", f"{shape!r} is not known; known are {', '.join(SHAPES)}")
    if limit is not None and target is None:
        raise fields.error("limit", "needs a target, at which it has to hold")
    fit = Fit(
        fields.text("metric"),
        shape,
        fields.number("tolerance", TOLERANCE) or TOLERANCE,
        limit,
        fields.number("per_s", 1.0) or 1.0,
        fields.text("why", needed=limit is not None),
    )
    fields.done()
    return fit


def load(path: Path, sizes: list[int] | None = None, seeds: list[int] | None = None) -> Experiment:
    """ExperimentError names the file as well."""
    try:
        return experiment_from(path.read_text(), sizes, seeds)
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from error
    except (ExperimentError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {error}") from error


def from_json(raw: Mapping[str, Any]) -> Experiment:
    """From the first line of a results file."""
    try:
        fits = tuple(Fit(**each) for each in raw["fits"])
        return Experiment(**{**raw, "fits": fits, "sizes": tuple(raw["sizes"]), "seeds": tuple(raw["seeds"])})
    except (KeyError, TypeError) as error:
        raise ExperimentError(f"not the heading of a results file: {error}") from error
