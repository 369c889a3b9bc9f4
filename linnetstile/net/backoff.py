"""Pauses between attempts that fail: they grow, and are spread at random."""

from __future__ import annotations

import asyncio
import random


class Backoff:
    """Growing pauses between failed requests, spread so widely that a fleet whose requests all failed at one
    moment does not come back as one: a returning agent is not hammered."""

    def __init__(self, first_s: float, most_s: float) -> None:
        self.first_s, self.most_s, self.fails = first_s, most_s, 0

    def next_s(self, took_s: float = 0.0) -> float:
        """How long the pause is after one more failure; `took_s`: how long the failed request took."""
        wait = self.wait_s(took_s)
        self.fails += 1
        return wait

    async def pause(self, took_s: float = 0.0) -> None:
        await asyncio.sleep(self.next_s(took_s))

    def wait_s(self, took_s: float) -> float:
        wait = min(self.most_s, self.first_s * 2.0 ** min(self.fails, 16))
        return wait * random.uniform(0.1, 1.9)

    def reset(self) -> None:
        self.fails = 0


class Rounds(Backoff):
    """Pauses of a large fleet: each member begins one request in `round_s` seconds, at a moment of its own.
    So whenever the service returns, they come evenly over that time; and none later than `most_s` after its
    last one began, however long that took."""

    JITTER = 0.05  # of a pause, but for the first: the fleet's requests fail together, so it spreads over all

    def __init__(self, round_s: float, most_s: float) -> None:
        super().__init__(round_s, most_s)

    def wait_s(self, took_s: float) -> float:
        most = max(0.0, min(self.first_s, self.most_s - took_s))
        return random.uniform((1.0 - self.JITTER) * most if self.fails else 0.0, most)
