"""What the relay counts for its operators, as statsd lines."""

from __future__ import annotations

from collections.abc import Iterable

from ..connection_reuse import Peer, Position
from .invariants import Invariants

PREFIX = "relay"
ENDS = {"delivered": "ok", "returned": "shed", "failed": "errors"}  # how a message ended, and where it counts


class Figures:
    """Written by the relay's thread alone; each value is replaced whole, so that another may always read."""

    def __init__(self, classes: Iterable[str], invariants: Invariants | None = None) -> None:
        self.invariants = invariants or Invariants()
        names = list(classes)
        # Each class from the start: a figure that is absent cannot be told from one that is lost.
        self.counts = {f"{what}.{name}": 0 for what in ("ok", "shed", "errors", "tries") for name in names}
        self.unsolicited = {(peer, position): 0 for peer in Peer for position in Position}
        self.gauges = dict.fromkeys(("active", "pool_size", "pool_ejected"), 0)

    def ended(self, class_: str, state: str) -> None:
        """A message that is over for another reason (its client gave it up) counts nowhere."""
        if state in ENDS:
            self._add(f"{ENDS[state]}.{class_}")

    def tried(self, class_: str) -> None:
        self._add(f"tries.{class_}")

    def _add(self, name: str) -> None:
        if name in self.counts:  # a class that the settings no longer know is nobody's figure
            self.counts[name] += 1

    def text(self) -> str:
        lines = [f"{PREFIX}.{name}:{value}|c\n" for name, value in self.counts.items()]
        lines += [f"{PREFIX}.{name}:{value}|g\n" for name, value in self.gauges.items()]
        lines += [
            f"{PREFIX}.unsolicited.{peer}.{position}:{count}|c\n"
            for (peer, position), count in self.unsolicited.items()
        ]
        lines += [f"{PREFIX}.breaches.{rule}:{count}|c\n" for rule, count in self.invariants.breaches.items()]
        return "".join(lines)
