"""Owns the runs of an experiment: each in a fresh process, bounded in time, and the files they fill.

Two files of JSON lines for an experiment, both with the experiment itself as their first line: `NAME.jsonl`
has what was counted, the same byte for byte for the same seeds; `NAME.timed.jsonl` what was read off the
machine.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .experiment import Experiment, ExperimentError, from_json
from .measure import Sample

ROOT = Path(__file__).resolve().parents[2]
JOBS = 2  # runs side by side, where nothing is timed: an experiment leaves the rest of the machine to others
ERROR_LINES = 1  # of a failed run's errors, in its line


@dataclass(frozen=True, slots=True)
class Run:
    """One run's outcome; `error` says why there is none."""

    size: int
    seed: int
    counted: Mapping[str, float] = field(default_factory=dict)
    timed: Mapping[str, float] = field(default_factory=dict)
    histograms: Mapping[str, str] = field(default_factory=dict)  # encoded
    error: str = ""

    def counted_line(self) -> dict[str, Any]:
        said = {"error": self.error} if self.error else {}
        return {
            "size": self.size,
            "seed": self.seed,
            "counted": dict(self.counted),
            "histograms": dict(self.histograms),
            **said,
        }

    def timed_line(self) -> dict[str, Any]:
        return {"size": self.size, "seed": self.seed, "timed": dict(self.timed)}


def sample_json(sample: Sample) -> dict[str, Any]:
    """What `run-one` prints."""
    histograms = {name: histogram.encode().decode() for name, histogram in sample.histograms.items()}
    return {"counted": dict(sample.counted), "timed": dict(sample.timed), "histograms": histograms}


def dumps(value: object) -> str:
    return json.dumps(value, sort_keys=True, allow_nan=False)


def environment() -> dict[str, str]:
    """Of a run's process: this very package, one order of its hashes, and one thread for arithmetic."""
    paths = [str(ROOT), *(path for path in [os.environ.get("PYTHONPATH")] if path)]
    return {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(paths),
        "PYTHONHASHSEED": "0",
        "OMP_NUM_THREADS": "1",
        "OPENBLAS_NUM_THREADS": "1",
    }


def run_once(experiment: Experiment, size: int, seed: int, modules: tuple[str, ...] = ()) -> Run:
    """In a fresh process, so that memory is that of this run alone."""
    command = [
        sys.executable,
        "-m",
        "linnetstile.emulator",
        "run-one",
        experiment.measure,
        str(size),
        str(seed),
        "--params",
        dumps(experiment.params),
    ]
    for module in modules:
        command += ["--import", module]
    try:
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=experiment.timeout_s,
            env=environment(),
            stdin=subprocess.DEVNULL,
        )
    except subprocess.TimeoutExpired as error:
        return Run(size, seed, error=f"not done within {error.timeout:g} s")
    if done.returncode:
        said = done.stderr.strip().splitlines()[-ERROR_LINES:]
        return Run(size, seed, error=f"ended with {done.returncode}: {' '.join(said)}")
    try:
        return Run(size, seed, **json.loads(done.stdout))
    except (ValueError, TypeError) as error:
        return Run(size, seed, error=f"printed no sample: {error}")


def runs(
    experiment: Experiment, jobs: int | None, modules: tuple[str, ...], say: Callable[[str], None]
) -> Iterator[Run]:
    """All runs in the order of sizes and seeds. Timed ones go one at a time, whatever `jobs` says."""
    end = time.monotonic() + experiment.total_timeout_s

    def one(pair: tuple[int, int]) -> Run:
        if time.monotonic() >= end:
            return Run(*pair, error=f"not run: {experiment.total_timeout_s:g} s for all runs were over")
        begun = time.monotonic()
        run = run_once(experiment, *pair, modules)
        what = run.error or f"{time.monotonic() - begun:.1f} s"
        say(f"{experiment.name}: {experiment.vary} {run.size:,}, seed {run.seed}: {what}")
        return run

    pairs = [(size, seed) for size in experiment.sizes for seed in experiment.seeds]
    with ThreadPoolExecutor(1 if experiment.timed else jobs or JOBS) as pool:
        yield from pool.map(one, pairs)


def paths(folder: Path, name: str) -> tuple[Path, Path]:
    return folder / f"{name}.jsonl", folder / f"{name}.timed.jsonl"


def run_into(
    folder: Path,
    experiment: Experiment,
    jobs: int | None,
    modules: tuple[str, ...],
    say: Callable[[str], None],
) -> list[Run]:
    """Runs it all, and writes each line as soon as its turn has come."""
    folder.mkdir(parents=True, exist_ok=True)
    done: list[Run] = []
    counted_path, timed_path = paths(folder, experiment.name)
    with counted_path.open("w") as counted, timed_path.open("w") as timed:
        for file in (counted, timed):
            file.write(dumps({"experiment": experiment.as_json()}) + "\n")
        for run in runs(experiment, jobs, modules, say):
            done.append(run)
            counted.write(dumps(run.counted_line()) + "\n")
            timed.write(dumps(run.timed_line()) + "\n")
            counted.flush()
            timed.flush()
    return done


def lines_of(path: Path) -> tuple[Experiment, list[dict[str, Any]]]:
    try:
        heading, *lines = [json.loads(line) for line in path.read_text().splitlines()]
        experiment = from_json(heading["experiment"])
        if any(not isinstance(each["size"], int) or not isinstance(each["seed"], int) for each in lines):
            raise ExperimentError("a line without size and seed")
        return experiment, lines
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from error
    except ExperimentError as error:
        raise ExperimentError(f"{path}: {error}") from error
    except (ValueError, KeyError, TypeError) as error:
        raise ExperimentError(f"{path}: not a results file: {error!r}") from error


def load_runs(path: Path) -> tuple[Experiment, list[Run]]:
    """From the file of what was counted, and that of what was timed if it lies beside it."""
    experiment, lines = lines_of(path)
    beside = path.with_suffix(".timed.jsonl")
    timed = lines_of(beside)[1] if beside != path and beside.exists() else []
    times = {(each["size"], each["seed"]): each.get("timed", {}) for each in timed}
    return experiment, [
        Run(
            each["size"],
            each["seed"],
            each.get("counted", {}),
            times.get((each["size"], each["seed"]), {}),
            each.get("histograms", {}),
            str(each.get("error", "")),
        )
        for each in lines
    ]
