"""Measures whose figures are known beforehand: what the experiments' own tests run."""

from __future__ import annotations

import signal

import numpy as np
from hdrh.histogram import HdrHistogram

from linnetstile.emulator.measure import Params, Sample, measure

runs_in_this_process: list[int] = []


@measure("planted")
def planted(params: Params, size: int, seed: int) -> Sample:
    """`size` to the power of `power`, a drawn figure, a histogram, and how often this process has run it."""
    runs_in_this_process.append(size)
    rng = np.random.default_rng([seed, size])
    histogram = HdrHistogram(1, 1_000_000, 3)
    for value in rng.integers(1, 1_000_000, 50):
        histogram.record_value(int(value))
    return Sample(
        {
            "work": float(params.get("base", 0.0)) + float(size) ** float(params["power"]),
            "drawn": float(rng.random()),
            "runs": float(len(runs_in_this_process)),
        },
        {"took_us": 2.0 * size},
        {"latency_us": histogram},
    )


@measure("planted_hang")
def planted_hang(params: Params, size: int, seed: int) -> Sample:
    """Never ends from the size `hangs_at` on."""
    while size >= int(params["hangs_at"]):
        signal.pause()
    return Sample({"work": float(size)}, {"took_us": 1.0})


@measure("planted_crash")
def planted_crash(params: Params, size: int, seed: int) -> Sample:
    """Fails at the size `fails_at`."""
    if size == int(params["fails_at"]):
        raise RuntimeError("planted")
    return Sample({"work": float(size)}, {"took_us": 1.0})
