"""Owns the command line of the emulator: `python -m linnetstile.emulator`."""

from __future__ import annotations

import importlib
import importlib.util
import inspect
import json
import sys
from importlib.resources import files
from pathlib import Path
from typing import Any

import click

from . import report, runs
from .experiment import Experiment, ExperimentError, load
from .measure import MEASURES

MODULES = ("module_measures", "process_measures", "fleet_measures")  # of this package, if they are there
BAD = 2  # the exit code of bad usage or a bad file
CODES = "\b\nExit codes: 0 ok; 1 a shape check or a run failed; 2 bad usage or a bad file."


def import_measures(modules: tuple[str, ...] = ()) -> None:
    """Fills the registry; ExperimentError if a module that is asked for cannot be imported."""
    for name in MODULES:
        if importlib.util.find_spec(f"{__package__}.{name}") is not None:
            importlib.import_module(f"{__package__}.{name}")
    for name in modules:
        try:
            importlib.import_module(name)
        except ImportError as error:
            raise ExperimentError(f"--import {name}: {error}") from error


def numbers(context: click.Context, option: click.Parameter, text: str | None) -> list[int] | None:
    if text is None:
        return None
    try:
        return [int(part.replace("_", "")) for part in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"whole numbers with commas between are needed, not {text!r}") from error


def params_of(context: click.Context, option: click.Parameter, text: str) -> dict[str, Any]:
    try:
        found = json.loads(text)
    except ValueError as error:
        raise click.BadParameter(f"not JSON: {error}") from error
    if not isinstance(found, dict):
        raise click.BadParameter(f"a JSON object is needed, not {text}")
    return found


class Plain(click.Group):
    """A bad file is said in one line, and ends with its own code."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except ExperimentError as error:
            click.echo(f"error: {error}", err=True)
            ctx.exit(BAD)


imports = click.option(
    "--import", "modules", multiple=True, metavar="MODULE", help="Another module whose measures may be named."
)
in_markdown = click.option("--markdown", is_flag=True, help="As Markdown.")


@click.group(cls=Plain, epilog=CODES)
def main() -> None:
    """Measures a relay, alone or among thousands, at sizes that no bench has.

    \b
    Examples:
      python -m linnetstile.emulator measures
      python -m linnetstile.emulator experiment run all --out found
      python -m linnetstile.emulator experiment table found/list_drain.jsonl
    """


@main.group(epilog=CODES)
def experiment() -> None:
    """Runs experiments, and shows what they found."""


def experiment_paths(names: tuple[str, ...]) -> list[Path]:
    """Files by path; or this package's own, by name or all of them."""
    own = Path(str(files(__package__))) / "experiments"
    found: list[Path] = []
    for name in names:
        if name == "all":
            found += sorted(own.glob("*.toml"))
        else:
            packaged = own / f"{name}.toml"
            found.append(packaged if packaged.exists() and not Path(name).exists() else Path(name))
    return found


def known(experiment: Experiment) -> Experiment:
    if experiment.measure not in MEASURES:
        names = ", ".join(sorted(MEASURES))
        raise ExperimentError(
            f"{experiment.name}: measure: {experiment.measure!r} is not known; known are " f"{names}"
        )
    return experiment


@experiment.command("run", epilog=CODES)
@click.argument("names", nargs=-1, required=True, metavar="FILE...")
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="The folder for NAME.jsonl and NAME.timed.jsonl.",
)
@click.option(
    "--jobs",
    type=click.IntRange(1),
    help=f"Runs side by side  [default: {runs.JOBS}]; timed " "experiments run one at a time all the same.",
)
@click.option("--sizes", callback=numbers, help="Instead of the file's, for a look: 1000,3000")
@click.option("--seeds", callback=numbers, help="Instead of the file's, for a look: 1,2")
@click.option("--target", type=click.IntRange(1), help="The size to extrapolate to, instead of the file's.")
@in_markdown
@imports
def run_experiments(
    names: tuple[str, ...],
    out: Path,
    jobs: int | None,
    sizes: list[int] | None,
    seeds: list[int] | None,
    target: int | None,
    markdown: bool,
    modules: tuple[str, ...],
) -> None:
    """Runs the experiments of these files and prints their tables; progress goes to standard error.

    FILE is a path, the name of one of the package's own experiments, or `all` for all of those.

    \b
    Examples:
      python -m linnetstile.emulator experiment run list_drain --out found
      python -m linnetstile.emulator experiment run my.toml --sizes 100,1000 --seeds 1
    """
    import_measures(modules)
    experiments = [known(load(path, sizes, seeds)) for path in experiment_paths(names)]
    failed = False
    for each in experiments:
        done = runs.run_into(out, each, jobs, modules, lambda text: click.echo(text, err=True))
        click.echo(report.table(each, done, target, markdown))
        failed |= any(run.error for run in done)
        failed |= any(finding.failed for finding in report.findings(each, done, target))
    sys.exit(1 if failed else 0)


@experiment.command("table", epilog=CODES)
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=Path), metavar="FILE.jsonl...")
@click.option("--target", type=click.IntRange(1), help="The size to extrapolate to, instead of the file's.")
@in_markdown
def show_tables(paths: tuple[Path, ...], target: int | None, markdown: bool) -> None:
    """Prints the tables of runs that were made before, and checks their shapes again.

    What was timed is read from NAME.timed.jsonl beside the file, if it is there.

    \b
    Example:
      python -m linnetstile.emulator experiment table found/list_drain.jsonl --target 500000
    """
    failed = False
    for path in paths:
        found, done = runs.load_runs(path)
        click.echo(report.table(found, done, target, markdown))
        failed |= any(run.error for run in done)
        failed |= any(finding.failed for finding in report.findings(found, done, target))
    sys.exit(1 if failed else 0)


@experiment.command("compare", epilog=CODES)
@click.argument("old", type=click.Path(path_type=Path), metavar="OLD.jsonl")
@click.argument("new", type=click.Path(path_type=Path), metavar="NEW.jsonl")
@in_markdown
def compare(old: Path, new: Path, markdown: bool) -> None:
    """Compares the figures of two runs of one experiment, size by size.

    \b
    Example:
      python -m linnetstile.emulator experiment compare before/list_drain.jsonl found/list_drain.jsonl
    """
    before, runs_before = runs.load_runs(old)
    after, runs_after = runs.load_runs(new)
    if (before.measure, dict(before.params)) != (after.measure, dict(after.params)):
        raise ExperimentError(
            f"{old} and {new} measure different things: {before.measure} with "
            f"{dict(before.params)}, {after.measure} with {dict(after.params)}"
        )
    click.echo(report.comparison(after, runs_before, runs_after, markdown))


@main.command("measures", epilog=CODES)
@imports
def list_measures(modules: tuple[str, ...]) -> None:
    """Lists what an experiment file may name, and what each gives.

    \b
    Example:
      python -m linnetstile.emulator measures
    """
    import_measures(modules)
    for name, function in sorted(MEASURES.items()):
        said = inspect.cleandoc(function.__doc__ or "").replace("\n", "\n    ")
        click.echo(f"{name}\n    {said}\n")


@main.command("run-one", epilog=CODES)
@click.argument("name", metavar="MEASURE")
@click.argument("size", type=click.IntRange(1))
@click.argument("seed", type=click.IntRange(0))
@click.option("--params", callback=params_of, default="{}", help="The measure's fixed figures, as JSON.")
@imports
def run_one(name: str, size: int, seed: int, params: dict[str, Any], modules: tuple[str, ...]) -> None:
    """One run of a measure in this very process; prints its sample as JSON.

    \b
    Example:
      python -m linnetstile.emulator run-one list_drain 10000 1 --params '{"endpoints_each": 2.5}'
    """
    import_measures(modules)
    if name not in MEASURES:
        raise ExperimentError(f"measure: {name!r} is not known; known are {', '.join(sorted(MEASURES))}")
    click.echo(runs.dumps(runs.sample_json(MEASURES[name](params, size, seed))))
