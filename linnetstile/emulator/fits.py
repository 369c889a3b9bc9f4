"""Owns the fits over sizes and seeds: a line, an exponent, and the check of a shape."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from .experiment import SHAPES


@dataclass(frozen=True, slots=True)
class Line:
    """`intercept + slope x size`, by ordinary least squares over each run."""

    slope: float  # of the figure, for one more of the size
    intercept: float
    residual: float  # root of the mean square of what is left, as a part of the figure's mean
    smallest: int  # the range of sizes that it was measured over
    largest: int

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


@dataclass(frozen=True, slots=True)
class Exponent:
    """`figure ~ size ^ value`, by least squares over the logarithms, with the value's standard error."""

    value: float
    standard_error: float


def line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """ValueError with fewer than two sizes."""
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    if len(set(sizes)) < 2:
        raise ValueError("a line needs two sizes at least")
    slope, intercept = np.polyfit(x, y, 1)
    left, mean = y - (slope * x + intercept), float(np.mean(np.abs(y)))
    residual = float(np.sqrt(np.mean(left**2))) / mean if mean else 0.0
    return Line(float(slope), float(intercept), residual, int(x.min()), int(x.max()))


def exponent(sizes: Sequence[float], values: Sequence[float]) -> Exponent | None:
    """None where a figure is not above 0: it has no logarithm."""
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    if y.min() <= 0 or len(set(sizes)) < 2:
        return None
    u, v = np.log(x), np.log(y)
    value, at_one = np.polyfit(u, v, 1)
    left, spread = v - (value * u + at_one), float(np.sum((u - u.mean()) ** 2))
    free = len(x) - 2
    error = float(np.sqrt(np.sum(left**2) / free / spread)) if free else 0.0
    return Exponent(float(value), error)


def shape_exponent(shape: str, sizes: Sequence[float]) -> float:
    """What `exponent` shows over these sizes for a figure that has this shape exactly."""
    found = exponent(sizes, [SHAPES[shape](size) for size in sizes])
    assert found is not None
    return found.value


def grows_faster(shape: str, sizes: Sequence[float], values: Sequence[float], tolerance: float) -> bool:
    """Whether a figure outgrows a shape: its exponent over all sizes, or over the upper half of them, where a
    constant part hides less, is above the shape's. One that grows more slowly is not held against it."""
    distinct = sorted(set(sizes))
    upper = set(distinct[(len(distinct) - 1) // 2 :])
    for chosen in (set(distinct), upper):
        x = [size for size in sizes if size in chosen]
        y = [value for size, value in zip(sizes, values, strict=True) if size in chosen]
        found = exponent(x, y)
        if found is not None and found.value > shape_exponent(shape, x) + tolerance:
            return True
    return False
