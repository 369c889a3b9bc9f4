"""The settings of one soak, its endpoints and their list, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

WINDOW_MS = 4000.0
CLASSES = ["keyed", "unsafe", "safe"]
UNSAFE = "unsafe"
BULK = 10  # messages in one call to an endpoint of that kind
RELAYS, DESTINATIONS, ENDPOINTS = (3, 6), (2, 12), (1, 3)
LONGEST_PATH_S = 0.11  # one way
LARGE_SHARES = [0.0, 0.2, 0.6]
EXTRAS_SHARES = [0.0, 0.3, 0.5, 0.5]  # of good answers that bring extra bytes


@dataclass(frozen=True, slots=True)
class World:
    """How large a soak is."""

    relays: int
    destinations: tuple[tuple[str, int], ...]  # kind and number of endpoints of each
    pushed: bool  # lists come from an agent of each relay's own, else discovery is asked

    def settings(self) -> dict[str, Any]:
        return {
            "az": 0,
            "balancers": self.relays,
            "zones": ["z"],
            "kinds": ["single", "bulk"],
            "tick-ms": 5.0,
            "weight-kind": "nominal",
            "registry-mode": "push" if self.pushed else "ask",
            "classes": [
                {
                    "name": "keyed",
                    "effect": "by_key",
                    "aim-ms": 1000.0,
                    "deadline-ms": 8000.0,
                    "window-ms": WINDOW_MS,
                },
                {"name": "unsafe", "effect": "once", "aim-ms": 1000.0, "deadline-ms": 8000.0},
                {"name": "safe", "effect": "repeatable", "aim-ms": 1000.0, "deadline-ms": 8000.0},
            ],
            "extra": {"call-slots": 16, "loses-worth": "halves", "per-call": [1, BULK]},
            "limits": {
                "open-cap": 300,
                "try-limit": 8,
                "conn-idle-ms": 10000.0,
                "connect-timeout-ms": 1000.0,
                "max-retry-after-ms": 3000.0,
            },
            "orgs": [{"name": "t", "quota-per-s": 20.0}, {"name": "u", "quota-per-s": 5.0}],
            "client-habits": {"marks-retry": True},
            "safety": {
                "answer-slack-ms": 20.0,
                "drain-grace-ms": 250.0,
                "cold-from": 0.2,
                "cold-ms": 9000.0,
                "fall-ms": 1500.0,
                "fall-multiple": 2.0,
                "ask-within-ms": 10000.0,
            },
        }


def large_share(seed: int) -> float:
    """Of the bodies of one soak: in some of them the relays' folders are full for much of the time."""
    return random.Random(f"bodies of {seed}").choice(LARGE_SHARES)


@dataclass(frozen=True, slots=True)
class Paths:
    """How far apart the parties are, and how often good answers bring extra bytes; apart from the rest of the
    world, so that a seed's other draws stay what they were."""

    rng: random.Random
    extras_share: float

    @classmethod
    def of(cls, seed: int) -> Paths:
        rng = random.Random(f"paths of {seed}")
        return cls(rng, rng.choice(EXTRAS_SHARES))

    def one_way_s(self) -> float:
        """Of one more path: some are short."""
        return self.rng.choice([0.0, self.rng.uniform(0.0, 0.02), self.rng.uniform(0.0, LONGEST_PATH_S)])


def drawn(rng: random.Random) -> World:
    return World(
        rng.randint(*RELAYS),
        tuple(
            (rng.choice(["single", "bulk"]), rng.randint(*ENDPOINTS))
            for _ in range(rng.randint(*DESTINATIONS))
        ),
        rng.random() < 0.5,
    )
