"""Owns the arrivals: how many messages each relay gets, for which destinations and of which class."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np
from numpy.random import Generator

from .streams import stream

DRAWN = 64  # arrivals drawn at once: numpy is slow one by one


@dataclass(frozen=True, slots=True)
class Load:
    """What clients hand in. A clump is several messages at once, as a burst of one client."""

    per_relay_per_s: float = 1.0  # messages, the mean over relays
    relay_sigma: float = 0.8  # of the logarithm of a relay's part: some get several times the mean
    zipf: float = 0.8  # exponent of destinations' popularity; 0: all alike
    clump_share: float = 0.1  # of the arrivals are clumps
    clump_size: float = 5.0  # messages in one, the mean
    class_shares: tuple[float, ...] = (0.6, 0.3, 0.1)
    bytes: int = 300  # of a message


def popularity(load: Load, destinations: int) -> np.ndarray:
    """Each destination's part of all messages."""
    parts = np.arange(1, destinations + 1, dtype=float) ** -load.zipf
    parts = parts / parts.sum()
    return np.asarray(parts)


def relay_rates(load: Load, relays: int, seed: int) -> np.ndarray:
    """Messages a second of each relay; their mean is the load's."""
    parts = stream(seed, "relay rates").lognormal(0.0, load.relay_sigma, relays)
    return np.asarray(parts * (load.per_relay_per_s / parts.mean()))


@dataclass(frozen=True, slots=True)
class Arrival:
    """Messages that come together, `gap_ms` after the last ones: (destination, class) of each."""

    gap_ms: float
    messages: tuple[tuple[int, int], ...]


def arrivals(load: Load, per_s: float, popular: np.ndarray, seed: int, relay: int) -> Iterator[Arrival]:
    """Of one relay, without end: Poisson, some of them clumps, so that `per_s` messages come a second."""
    rng = stream(seed, "arrivals", relay)
    mean_size = 1 + load.clump_share * (load.clump_size - 1)
    edges, classes = np.cumsum(popular), np.cumsum(np.asarray(load.class_shares) / sum(load.class_shares))
    while True:
        gaps = rng.exponential(1000 * mean_size / per_s, DRAWN)
        sizes = _sizes(load, rng)
        total = int(sizes.sum())
        places = np.minimum(np.searchsorted(edges, rng.random(total), "right"), len(edges) - 1).tolist()
        kinds = np.minimum(np.searchsorted(classes, rng.random(total), "right"), len(classes) - 1).tolist()
        at = 0
        for gap, size in zip(gaps.tolist(), sizes.tolist(), strict=True):
            yield Arrival(gap, tuple(zip(places[at : at + size], kinds[at : at + size], strict=True)))
            at += size


def _sizes(load: Load, rng: Generator) -> np.ndarray:
    """1, or for a clump 2 and more with the mean that the load names."""
    clumped = rng.random(DRAWN) < load.clump_share
    further = rng.geometric(1 / max(1.0, load.clump_size - 1), DRAWN)
    return np.asarray(1 + clumped * further)
