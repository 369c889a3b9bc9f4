"""Owns the random streams of a run: one for each role, so that more draws by one leave the others alone."""

from __future__ import annotations

import random
import zlib

from numpy.random import PCG64, Generator, SeedSequence


def _sequence(seed: int, role: str, index: int) -> SeedSequence:
    return SeedSequence(seed, spawn_key=(zlib.crc32(role.encode()), index))


def stream(seed: int, role: str, index: int = 0) -> Generator:
    """The stream of one role (of one relay or destination, by its index): the same for the same figures."""
    return Generator(PCG64(_sequence(seed, role, index)))


def plain_stream(seed: int, role: str, index: int = 0) -> random.Random:
    """The same for single draws, of which there are many: several times quicker than numpy's one by one."""
    high, low = (int(word) for word in _sequence(seed, role, index).generate_state(2))
    return random.Random(high << 32 | low)
