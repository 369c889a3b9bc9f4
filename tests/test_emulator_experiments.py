"""The experiments: their files, fits, runs and tables, and the command line."""

from __future__ import annotations

import json
import math
import threading
import tomllib
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from hdrh.histogram import HdrHistogram
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.emulator import (
    cli,
    experiment,
    fits,
    fleet_measures,
    module_measures,
    process_measures,
    report,
    runs,
)
from linnetstile.emulator.experiment import SHAPES, Experiment, ExperimentError, experiment_from
from linnetstile.emulator.measure import MEASURES
from linnetstile.emulator.runs import Run

from . import planted_measures

PLANTED = planted_measures.__name__
OWN = sorted((Path(experiment.__file__).parent / "experiments").glob("*.toml"))
OF_A_FLEET = [path for path in OWN if getattr(fleet_measures, path.stem, None) is not None]
OF_A_MODULE = [path for path in OWN if getattr(module_measures, path.stem, None) is not None]
GOOD = """
name = "trial"
measure = "planted"
vary = "things"
sizes = [10, 20, 40, 80]
seeds = [1, 2, 3]
timeout_s = 30.0
total_timeout_s = 60.0
target = 1000

[params]
power = 1

[[fit]]
metric = "work"
shape = "linear"
limit = 500.0
per_s = 2.0
why = "the test says so"

[[fit]]
metric = "took_us"
"""


def invoke(*args: object) -> Result:
    return CliRunner().invoke(cli.main, [str(arg) for arg in args])


def written(folder: Path, text: str, name: str = "trial") -> Path:
    path = folder / f"{name}.toml"
    path.write_text(text)
    return path


def run_file(folder: Path, text: str, *more: object, out: str = "out") -> Result:
    path = written(folder, text)
    return invoke("experiment", "run", path, "--out", folder / out, "--import", PLANTED, *more)


# -- the file --------------------------------------------------------------------------------------------


def test_a_good_file_is_read_whole() -> None:
    found = experiment_from(GOOD)
    assert (found.name, found.measure, found.vary) == ("trial", "planted", "things")
    assert found.sizes == (10, 20, 40, 80) and found.seeds == (1, 2, 3) and found.target == 1000
    assert (found.timeout_s, found.total_timeout_s, found.timed, found.look) == (30.0, 60.0, False, False)
    assert [fit.metric for fit in found.fits] == ["work", "took_us"] and found.params == {"power": 1}
    assert (found.fits[0].shape, found.fits[0].limit, found.fits[0].per_s) == ("linear", 500.0, 2.0)
    assert experiment.from_json(json.loads(runs.dumps(found.as_json()))) == found


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('name = "trial"', "", "name: is missing"),
        ('name = "trial"', 'name = "../trial"', "name: '../trial' has to be lower case"),
        ('measure = "planted"', "measure = 3", "measure: a text is needed, not 3"),
        ('vary = "things"', 'vary = " "', "vary: a text is needed"),
        ("sizes = [10, 20, 40, 80]", "sizes = [10, 20, 40]", "sizes: 4 at least are needed, not 3"),
        ("sizes = [10, 20, 40, 80]", "sizes = [0, 20, 40, 80]", "sizes: 0 is too low"),
        ("sizes = [10, 20, 40, 80]", "sizes = [10, 20, 20, 80]", "sizes: has to rise"),
        ("sizes = [10, 20, 40, 80]", "sizes = [10.5, 20, 40, 80]", "sizes: a list of whole numbers"),
        ("seeds = [1, 2, 3]", "seeds = [1, 2]", "seeds: 3 at least are needed, not 2"),
        ("seeds = [1, 2, 3]", "seeds = [true, 2, 3]", "seeds: a list of whole numbers"),
        ("timeout_s = 30.0", "timeout_s = 0", "timeout_s: a number above 0 is needed, not 0"),
        ("total_timeout_s = 60.0", "total_timeout_s = inf", "total_timeout_s: a number above 0"),
        ("total_timeout_s = 60.0", "", "total_timeout_s: is missing"),
        ("target = 1000", "target = 0", "target: a whole number of 1 or more"),
        ("target = 1000", "", "fit 1: limit: needs a target"),
        ("target = 1000", "goal = 1000", "fit 1: limit: needs a target"),
        ("target = 1000", "target = 1000\ngoal = 3", "goal: is not known"),
        ("target = 1000", "target = 1000\ntimed = 1", "timed: true or false is needed, not 1"),
        ("[params]\npower = 1", "params = 3", "params: a table is needed, not 3"),
        ('shape = "linear"', 'shape = "round"', "fit 1: shape: 'round' is not known"),
        ('shape = "linear"', "shape = [1]", "fit 1: shape: [1] is not known"),
        ('why = "the test says so"', "", "fit 1: why: is missing"),
        ("per_s = 2.0", "per_s = -1", "fit 1: per_s: a number above 0"),
        ("per_s = 2.0", "tolerence = 1", "fit 1: tolerence: is not known"),
        ('metric = "took_us"', 'metric = "work"', "fit: work is named twice"),
        ('metric = "took_us"', "", "fit 2: metric: is missing"),
        ('[[fit]]\nmetric = "took_us"', "[", "not TOML"),
    ],
)
def test_a_bad_file_is_refused_by_its_field(tmp_path: Path, old: str, new: str, told: str) -> None:
    assert old in GOOD
    found = run_file(tmp_path, GOOD.replace(old, new))
    assert found.exit_code == 2 and f"trial.toml: {told}" in found.output
    assert len(found.output.splitlines()) == 1  # no trace of ours
    assert not (tmp_path / "out").exists()


junk = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
)


@given(
    st.sampled_from(
        [
            "name",
            "measure",
            "vary",
            "sizes",
            "seeds",
            "timeout_s",
            "total_timeout_s",
            "fit",
            "target",
            "params",
            "timed",
            "other",
        ]
    ),
    junk,
)
def test_whatever_a_field_holds_it_is_taken_or_refused_by_name(field: str, value: object) -> None:
    table: dict[str, Any] = tomllib.loads(GOOD)
    table[field] = value
    try:
        experiment.read(table)
    except ExperimentError as error:
        assert str(error).startswith((field, "fit"))


@given(st.text())
def test_any_text_is_read_or_refused(text: str) -> None:
    with pytest.raises(ExperimentError):
        experiment_from(text)


def test_the_packages_own_files_are_good_and_name_all_of_its_measures() -> None:
    cli.import_measures()
    own = [experiment.load(path) for path in OWN]
    assert [each.name for each in own] == [path.stem for path in OWN]
    modules = module_measures.__name__, process_measures.__name__
    ours = {name for name, function in MEASURES.items() if function.__module__ in modules}
    assert len(ours) >= 12 and ours <= {each.measure for each in own} <= set(MEASURES)
    assert all(any(fit.shape for fit in each.fits) for each in own)  # each has a check that can fail


# -- fits ------------------------------------------------------------------------------------------------

SIZES = [10, 30, 100, 300, 1000]


@given(st.floats(-1e3, 1e3), st.floats(-1e6, 1e6))
def test_a_line_is_found_again(slope: float, intercept: float) -> None:
    found = fits.line(SIZES, [intercept + slope * size for size in SIZES])
    assert found.slope == pytest.approx(slope, abs=1e-6 * (1 + abs(slope) + abs(intercept)))
    assert found.intercept == pytest.approx(intercept, abs=1e-6 * (1 + abs(slope) * 1e3 + abs(intercept)))
    assert found.residual < 1e-6 and (found.smallest, found.largest) == (10, 1000)


@given(st.floats(0.5, 100), st.floats(10, 1000), st.floats(0.1, 5))
def test_a_residual_is_found_again(slope: float, intercept: float, off: float) -> None:
    """A pair at each size, as far above the line as below it, leaves the line where it is."""
    sizes = [size for size in SIZES for _ in range(2)]
    values = [intercept + slope * size + off * (1 - 2 * (n % 2)) for n, size in enumerate(sizes)]
    found = fits.line(sizes, values)
    assert found.slope == pytest.approx(slope) and found.intercept == pytest.approx(intercept, rel=1e-5)
    assert found.residual == pytest.approx(off / (sum(values) / len(values)), rel=1e-6)


@given(st.floats(0.1, 3), st.floats(0.01, 0.5))
def test_an_exponent_is_found_again_with_its_standard_error(power: float, off: float) -> None:
    sizes = [size for size in SIZES for _ in range(2)]
    values = [size**power * math.exp(off * (1 - 2 * (n % 2))) for n, size in enumerate(sizes)]
    found = fits.exponent(sizes, values)
    logs = [math.log(size) for size in sizes]
    spread = sum((each - sum(logs) / len(logs)) ** 2 for each in logs)
    assert found is not None and found.value == pytest.approx(power)
    assert found.standard_error == pytest.approx(math.sqrt(len(sizes) * off**2 / (len(sizes) - 2) / spread))
    assert fits.exponent(SIZES, [0, 1, 2, 3, 4]) is None


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("true", SHAPES)
def test_a_shape_holds_for_itself_and_for_what_grows_more_slowly(shape: str, true: str) -> None:
    order = list(SHAPES)  # from the slowest to the fastest
    values = [100 * SHAPES[true](size) for size in SIZES]
    near = {shape, true} in ({"linear", "nlogn"},)  # apart by less than the usual tolerance at some sizes
    tolerance = 0.05 if near else experiment.TOLERANCE
    assert fits.grows_faster(shape, SIZES, values, tolerance) is (order.index(true) > order.index(shape))


def test_a_constant_part_hides_no_quadratic_one() -> None:
    values = [5e4 + size**2 for size in SIZES]
    over_all = fits.exponent(SIZES, values)
    assert over_all is not None and over_all.value < 1.0  # what all sizes together show
    assert fits.grows_faster("linear", SIZES, values, experiment.TOLERANCE)


# -- runs ------------------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def linear(tmp_path_factory: pytest.TempPathFactory) -> tuple[Path, Result]:
    """The good file, run in real processes once for all tests that only read what came of it."""
    folder = tmp_path_factory.mktemp("linear")
    return folder / "out/trial.jsonl", run_file(folder, GOOD, "--sizes", "10,80", "--seeds", "1,2")


def test_a_linear_measure_passes_and_is_held_against_its_limit(linear: tuple[Path, Result]) -> None:
    path, found = linear
    assert found.exit_code == 0, found.output
    rows = [line.split() for line in found.stdout.splitlines()]
    work, took = ([row for row in rows if row[:1] == [name]][-1] for name in ("work", "took_us"))
    assert "linear: ok" in " ".join(work) and work[-4:] == ["short", "by", "factor", "4"]  # 2 x 1000 to 500
    assert "1,000" in work and "2,000" in took  # at the target
    measured = "Measured over 10 to 80 (things), extrapolated along the line to 1,000: work, took_us."
    assert measured in found.stdout
    assert "Limit of work for 2 times the figure: 500; the test says so." in found.stdout
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [(line["size"], line["seed"]) for line in lines[1:]] == [(10, 1), (10, 2), (80, 1), (80, 2)]
    assert all(line["counted"]["runs"] == 1.0 for line in lines[1:])  # each in a fresh process
    assert all("took_us" not in line["counted"] for line in lines[1:])
    assert HdrHistogram.decode(lines[1]["histograms"]["latency_us"]).get_total_count() == 50


def test_a_table_is_the_same_when_it_is_read_again(linear: tuple[Path, Result]) -> None:
    path, found = linear
    again = invoke("experiment", "table", path)
    assert again.exit_code == 0 and again.stdout == found.stdout


def test_a_quadratic_measure_fails_its_shape(tmp_path: Path) -> None:
    found = run_file(tmp_path, GOOD.replace("power = 1", "power = 2"), "--sizes", "10,80", "--seeds", "1")
    assert found.exit_code == 1 and "linear: FAILED" in found.output
    path = tmp_path / "out/trial.jsonl"
    again = invoke("experiment", "table", path)
    assert again.exit_code == 1 and "linear: FAILED" in again.output
    path.write_text(path.read_text().replace('"shape": "linear"', '"shape": "quadratic"'))
    assert invoke("experiment", "table", path).exit_code == 0  # nothing else was wrong with it


def test_the_same_seeds_give_the_same_file_byte_for_byte(linear: tuple[Path, Result], tmp_path: Path) -> None:
    look = "--sizes", "10,80", "--seeds"
    assert run_file(tmp_path, GOOD, *look, "1,2", "--jobs", "1", out="again").exit_code == 0
    assert run_file(tmp_path, GOOD, *look, "4", out="other").exit_code == 0
    first, again, other = linear[0], tmp_path / "again/trial.jsonl", tmp_path / "other/trial.jsonl"
    assert first.read_bytes() == again.read_bytes()
    drawn = [
        {json.loads(line)["counted"]["drawn"] for line in path.read_text().splitlines()[1:]}
        for path in (first, other)
    ]
    assert not drawn[0] & drawn[1]


@pytest.mark.parametrize("name", ["list_drain", "journal_append"])
def test_the_package_counts_the_same_in_two_processes(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """This one, whose hashes have another order, and a fresh one."""
    cli.import_measures()
    monkeypatch.setattr(module_measures, "SPEND_S", 0.0)
    monkeypatch.setattr(module_measures, "LEAST_TIMES", 1)
    each = experiment.load(next(path for path in OWN if path.stem == name))
    there = runs.run_once(each, 60, 5)
    here = MEASURES[each.measure](each.params, 60, 5)
    assert not there.error and there.counted and there.counted == here.counted


def test_a_run_that_hangs_is_ended_and_said(tmp_path: Path) -> None:
    text = GOOD.replace('"planted"', '"planted_hang"').replace("power = 1", "hangs_at = 20")
    text = text.replace("timeout_s = 30.0", "timeout_s = 1.5", 1)
    found = run_file(tmp_path, text, "--sizes", "10,20", "--seeds", "7")
    assert found.exit_code == 1 and "FAILED run: size 20, seed 7: not done within 1.5 s." in found.output


def test_a_run_that_crashes_is_said_and_the_others_go_on(tmp_path: Path) -> None:
    text = GOOD.replace('"planted"', '"planted_crash"').replace("power = 1", "fails_at = 20")
    found = run_file(tmp_path, text, "--sizes", "10,20,40", "--seeds", "7")
    assert found.exit_code == 1 and "linear: ok" in found.output  # nothing but the run itself has failed
    assert "FAILED run: size 20, seed 7: ended with 1: RuntimeError: planted." in found.output
    lines = [json.loads(line) for line in (tmp_path / "out/trial.jsonl").read_text().splitlines()[1:]]
    assert [line["size"] for line in lines if "error" not in line] == [10, 40]
    assert invoke("experiment", "table", tmp_path / "out/trial.jsonl").exit_code == 1  # nor when read again


def test_what_the_time_for_all_leaves_out_is_said_as_not_run(tmp_path: Path) -> None:
    text = GOOD.replace("total_timeout_s = 60.0", "total_timeout_s = 1e-9")
    found = run_file(tmp_path, text)
    assert found.exit_code == 1 and found.stdout.count("not run: 1e-09 s for all runs were over") == 12


def planted_experiment(timed: bool) -> Experiment:
    return experiment_from(GOOD.replace("target = 1000", f"target = 1000\ntimed = {str(timed).lower()}"))


def test_counted_runs_go_side_by_side(monkeypatch: pytest.MonkeyPatch) -> None:
    both = threading.Barrier(2, timeout=30)  # a run alone breaks it

    def once(each: Experiment, size: int, seed: int, modules: tuple[str, ...]) -> Run:
        both.wait()
        return Run(size, seed)

    monkeypatch.setattr(runs, "run_once", once)
    done = list(runs.runs(planted_experiment(False), None, (), lambda text: None))
    assert [(run.size, run.seed) for run in done] == [(n, s) for n in (10, 20, 40, 80) for s in (1, 2, 3)]


def test_timed_runs_go_one_at_a_time_whatever_is_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    threads = set()

    def once(each: Experiment, size: int, seed: int, modules: tuple[str, ...]) -> Run:
        threads.add(threading.get_ident())
        return Run(size, seed)

    monkeypatch.setattr(runs, "run_once", once)
    assert len(list(runs.runs(planted_experiment(True), 4, (), lambda text: None))) == 12
    assert len(threads) == 1


# -- what is said ----------------------------------------------------------------------------------------


def test_a_table_shows_median_spread_and_range(tmp_path: Path) -> None:
    each = planted_experiment(False)
    done = [Run(size, seed, {"work": size * (1 + seed / 10)}) for size in each.sizes for seed in each.seeds]
    work, took = report.findings(each, done)
    assert [(row.size, row.middle) for row in work.rows] == [(10, 12), (20, 24), (40, 48), (80, 96)]
    assert work.rows[0].spread == pytest.approx(2 / 12)
    assert work.line is not None and work.line.slope == pytest.approx(1.2)
    assert took.missing and took.failed
    assert "no run gave it" in report.table(each, done)


@pytest.mark.parametrize(
    ("limit", "verdict"),
    [(2000.0, "holds by factor 1"), (6000.0, "holds by factor 3"), (1000.0, "short by factor 2")],
)
def test_the_verdict_says_by_how_much(limit: float, verdict: str) -> None:
    each = experiment_from(GOOD.replace("limit = 500.0", f"limit = {limit}"))
    done = [Run(size, seed, {"work": float(size)}) for size in each.sizes for seed in each.seeds]
    finding = report.findings(each, done)[0]
    assert finding.verdict == verdict and not finding.failed  # twice 1,000 a second; it is no check


def test_a_target_on_the_command_line_goes_before_the_files(linear: tuple[Path, Result]) -> None:
    found = invoke("experiment", "table", linear[0], "--target", "5000", "--markdown")
    work = [line for line in found.output.splitlines() if line.startswith("| work")][-1]
    assert work.endswith("| 5,000 | 500 | short by factor 20 |"), work
    assert "- A look: its sizes or seeds are not those of the experiment's file." in found.output


def test_two_runs_are_compared_size_by_size(linear: tuple[Path, Result], tmp_path: Path) -> None:
    same = invoke("experiment", "compare", linear[0], linear[0])
    assert same.exit_code == 0 and same.output.count("same") == 4
    heading, *lines = [json.loads(line) for line in linear[0].read_text().splitlines()]
    for line in lines:
        line["counted"]["work"] += 10
    other = tmp_path / "other.jsonl"
    other.write_text("".join(json.dumps(line) + "\n" for line in (heading, *lines)))
    found = invoke("experiment", "compare", linear[0], other)
    assert [line.split()[-1] for line in found.output.splitlines() if line.startswith("work")] == [
        "2.000",
        "1.125",
    ]
    heading["experiment"]["params"] = {"power": 3}  # another thing was measured
    other.write_text("".join(json.dumps(line) + "\n" for line in (heading, *lines)))
    assert invoke("experiment", "compare", linear[0], other).exit_code == 2


# -- the command line ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "args",
    [
        ["experiment", "run"],
        ["experiment", "run", "/nowhere.toml"],
        ["experiment", "table", "/nowhere.jsonl"],
        ["experiment", "compare", "/nowhere.jsonl", "/nowhere.jsonl"],
        ["run-one", "nothing", "10", "1"],
        ["run-one", "ejections", "0", "1"],
        ["run-one", "ejections", "10", "1", "--params", "["],
        ["run-one", "ejections", "10", "1", "--params", "3"],
        ["measures", "--import", "no.such.module"],
        ["experiment", "run", "ejections", "--sizes", "ten"],
        ["experiment", "run", "ejections", "--sizes", "10"],
        ["experiment", "run", "ejections", "--jobs", "0"],
        ["experiment", "walk"],
    ],
)
def test_bad_usage_ends_with_2(args: list[str]) -> None:
    found = invoke(*args)
    assert found.exit_code == 2 and "Traceback" not in found.output


def test_an_unknown_measure_ends_with_2(tmp_path: Path) -> None:
    found = run_file(tmp_path, GOOD.replace('"planted"', '"plantet"'))
    assert found.exit_code == 2 and "measure: 'plantet' is not known" in found.output


@pytest.mark.parametrize("text", ["", "3\n", "{}\n", '{"experiment": {}}\n', '{"experiment": {"fits": 3}}\n'])
def test_a_file_that_holds_no_results_ends_with_2(tmp_path: Path, text: str) -> None:
    (tmp_path / "x.jsonl").write_text(text)
    found = invoke("experiment", "table", tmp_path / "x.jsonl")
    assert found.exit_code == 2 and "x.jsonl: not" in found.output


def test_the_measures_are_listed_with_what_they_give() -> None:
    found = invoke("measures")
    assert found.exit_code == 0
    assert "list_drain\n    Ten of `size` endpoints begin to drain in one turn" in found.output


@pytest.mark.parametrize(
    "args",
    [
        [],
        ["experiment"],
        ["experiment", "run"],
        ["experiment", "table"],
        ["experiment", "compare"],
        ["measures"],
        ["run-one"],
    ],
)
def test_each_help_has_examples_or_commands_and_the_exit_codes(args: list[str]) -> None:
    found = invoke(*args, "--help")
    assert found.exit_code == 0 and "Exit codes: 0 ok; 1 a shape check or a run failed; 2" in found.output
    assert "Example" in found.output or "Commands" in found.output


# -- the package's own measures --------------------------------------------------------------------------


@pytest.mark.parametrize("path", OF_A_MODULE, ids=lambda path: path.stem)
def test_a_small_sweep_of_each_experiment_keeps_its_shapes(
    path: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In this process, and each figure timed once: only what is counted is looked at."""
    cli.import_measures()

    def once(each: Experiment, size: int, seed: int, modules: tuple[str, ...]) -> Run:
        return Run(size, seed, **runs.sample_json(MEASURES[each.measure](each.params, size, seed)))

    monkeypatch.setattr(runs, "run_once", once)
    monkeypatch.setattr(module_measures, "SPEND_S", 0.0)
    monkeypatch.setattr(module_measures, "LEAST_TIMES", 1)
    sizes = "50,100,200,400,800"
    found = invoke("experiment", "run", path, "--sizes", sizes, "--seeds", "1", "--out", tmp_path)
    assert found.exit_code == 0, found.output
    for fit in experiment.load(path).fits:
        assert found.output.count(f"\n{fit.metric} ") == 5, fit.metric


@pytest.mark.parametrize("path", OF_A_FLEET, ids=lambda path: path.stem)
def test_a_small_sweep_of_each_fleet_runs_and_keeps_its_shapes(path: Path, tmp_path: Path) -> None:
    """On the virtual clock, in processes of their own as any sweep."""
    found = invoke("experiment", "run", path, "--sizes", "6,12,18,24", "--seeds", "1", "--out", tmp_path)
    assert found.exit_code == 0, found.output
    for fit in experiment.load(path).fits:
        assert found.output.count(f"\n{fit.metric} ") == 4, fit.metric


def test_opcodes_count_each_step_of_a_loop_but_nothing_within_a_call_of_c() -> None:
    def loop(steps: int) -> None:
        for _ in range(steps):
            pass

    def parted(size: int) -> None:
        set(range(size)) - {1}

    first, second, third = (module_measures.opcodes(partial(loop, n)) for n in (10, 20, 30))
    assert second - first == third - second >= 10
    few, many = (module_measures.opcodes(partial(parted, n)) for n in (10, 10_000))
    assert few == many


def test_a_whole_process_delivers_each_event_and_its_processor_time_is_read() -> None:
    sample = process_measures.event_end_to_end({"for_s": 0.1}, 100, 1)
    assert sample.counted == {"events": 10.0}  # else it would have failed
    assert sample.timed["event_us"] > 0 and sample.timed["second_us"] > 0


def test_the_whole_list_takes_more_memory_while_it_is_taken_than_it_keeps(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module_measures, "SPEND_S", 0.0)
    monkeypatch.setattr(module_measures, "LEAST_TIMES", 1)
    timed = module_measures.list_whole({}, 2000, 1).timed
    assert timed["directory_bytes"] + timed["relay_bytes"] == timed["kept_bytes"]
    assert timed["peak_bytes"] > timed["kept_bytes"]  # the parsed list is held besides
