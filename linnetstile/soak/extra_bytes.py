"""What a peer sends beyond a good answer: a second copy, or noise."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

LONGEST_GAP_S = 0.02


class Kind(Enum):
    COPY = "copy"
    OTHER_STATUS = "other status"
    NOISE = "noise"
    BLANK_LINE = "blank line"
    HALF_HEAD = "half a head"


DRAWN = [Kind.COPY] * 3 + list(Kind)
OTHER_ANSWERS = tuple(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status for status in (500, 503))
NOISE_BYTES = 1, 64


@dataclass(frozen=True, slots=True)
class Extra:
    data: bytes
    after_s: float | None  # seconds after the answer was written; None: in the same write


def extra_of(kind: Kind, answer: bytes, after_s: float | None, rng: random.Random) -> Extra:
    match kind:
        case Kind.COPY:
            return Extra(answer, after_s)
        case Kind.OTHER_STATUS:
            return Extra(rng.choice(OTHER_ANSWERS), after_s)
        case Kind.NOISE:
            return Extra(rng.randbytes(rng.randint(*NOISE_BYTES)), after_s)
        case Kind.BLANK_LINE:
            return Extra(b"\r\n", after_s)
        case Kind.HALF_HEAD:
            return Extra(answer[: max(1, len(answer) // 2)], after_s)


def drawn(answer: bytes, rng: random.Random) -> Extra:
    """Any kind, in the same write, right after it, or up to `LONGEST_GAP_S` later."""
    after_s = rng.choice([None, 0.0, rng.uniform(0.0, LONGEST_GAP_S)])
    return extra_of(rng.choice(DRAWN), answer, after_s, rng)
