"""Owns the registry of measures: what an experiment file may name, and what one run of it gives.

A measure is run at one size of the swept variable and for one seed. What it finds by counting or on the
virtual clock goes into `counted` and is the same byte for byte for the same seed; what it reads off the
machine (processor time, memory) goes into `timed` and moves from run to run.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

Params = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Sample:
    """One run of a measure: its figures by name, units in the name (`_ms`, `_us`, `_bytes`, `_per_s`)."""

    counted: Mapping[str, float] = field(default_factory=dict)
    timed: Mapping[str, float] = field(default_factory=dict)
    histograms: Mapping[str, HdrHistogram] = field(default_factory=dict)  # of whole numbers, counted


Measure = Callable[[Params, int, int], Sample]  # the experiment's fixed figures, the size, the seed
MEASURES: dict[str, Measure] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Registers a function under the name that experiment files use; ValueError if it is taken."""

    def register(function: Measure) -> Measure:
        if MEASURES.setdefault(name, function) is not function:
            raise ValueError(f"measure {name!r} is registered twice")
        return function

    return register
