"""Who may fill what all clients share: one that has half of it leaves the rest to others, if there are any.

Decisions alone: no I/O and no clock; times are milliseconds on the caller's clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

CROWDED = 0.85  # share of the hold from which it is short
RECENT_MS = 2000.0  # a client that asked so lately may ask again
MOST_CLIENTS = 1024  # whose latest request is remembered


class ClientShares:
    """How many of the held messages each client's connection has handed in."""

    def __init__(self, hold: int) -> None:
        self._hold = hold
        self._held: Counter[Hashable] = Counter()
        self._asked_ms: dict[Hashable, float] = {}  # by client, the latest last

    def asked(self, client: Hashable, now_ms: float) -> None:
        """It hands in a message."""
        self._asked_ms.pop(client, None)
        self._asked_ms[client] = now_ms
        if len(self._asked_ms) > MOST_CLIENTS:
            del self._asked_ms[next(iter(self._asked_ms))]

    def may_accept(self, client: Hashable, now_ms: float) -> bool:
        """Not more from one that has over half of what is held, where that is nearly all that may be."""
        total = self._held.total()
        if total < CROWDED * self._hold or 2 * self._held[client] <= total:
            return True
        others = (asked for other, asked in self._asked_ms.items() if other != client)
        return max(others, default=float("-inf")) <= now_ms - RECENT_MS

    def accepted(self, client: Hashable) -> None:
        """A message of this client is held from now on."""
        self._held[client] += 1

    def ended(self, client: Hashable) -> None:
        """It is not any more."""
        self._held[client] -= 1
        if not self._held[client]:
            del self._held[client]
