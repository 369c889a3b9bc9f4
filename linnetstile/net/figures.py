"""What the relay counts for its operators, as statsd lines."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from ..connection_reuse import Peer, Position
from .invariants import Invariants

PREFIX = "relay"
ENDS = {"delivered": "ok", "returned": "shed", "failed": "errors"}  # how a message ended, and where it counts

FOLDER_GAUGES = (
    "folder_bytes",
    "journal_bytes",
    "journal_live_bytes",
    "failed_compactions",
    "removed_spares",
    "unknown_records",
)
MEMORY_GAUGES = (
    "resident_bytes",
    "receiving_bytes",
    "accepted_bytes",
    "longest_client_turn_us",
    "longest_loop_pause_ms",
    *FOLDER_GAUGES,
)


class Refusal(StrEnum):
    """Why a message was not accepted."""

    HOLD_FULL = "hold_full"
    CLIENT_SHARE = "client_share"  # its client has half of the hold, and others want some
    MEMORY = "memory"
    JOURNAL = "journal"


class Figures:
    """Written by the relay's thread alone; each value is replaced whole, so that another may always read."""

    def __init__(self, classes: Iterable[str], invariants: Invariants | None = None) -> None:
        self.invariants = invariants or Invariants()
        names = list(classes)
        # Each class from the start: a figure that is absent cannot be told from one that is lost.
        self.counts = {f"{what}.{name}": 0 for what in ("ok", "shed", "errors", "tries") for name in names}
        self.unsolicited = {(peer, position): 0 for peer in Peer for position in Position}
        self.refused = dict.fromkeys(Refusal, 0)  # messages that were not accepted
        self.client_errors: dict[int, int] = {}  # connections of clients that ended with an error, by status
        self.gauges = dict.fromkeys(("active", "pool_size", "pool_ejected", *MEMORY_GAUGES), 0)

    def ended(self, class_: str, state: str) -> None:
        """A message that is over for another reason (its client gave it up) counts nowhere."""
        if state in ENDS:
            self._add(f"{ENDS[state]}.{class_}")

    def refuse(self, class_: str, why: Refusal) -> None:
        """A message was not accepted."""
        self.refused[why] += 1
        self.ended(class_, "returned")

    def client_ended_with(self, status: int) -> None:
        """A client's connection ends with an error."""
        self.client_errors[status] = self.client_errors.get(status, 0) + 1

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
        lines += [f"{PREFIX}.refused.{why}:{count}|c\n" for why, count in self.refused.items()]
        errors = list(self.client_errors.items())  # copied: the relay's thread may add one
        lines += [f"{PREFIX}.client_errors.{status}:{count}|c\n" for status, count in errors]
        lines += [f"{PREFIX}.breaches.{rule}:{count}|c\n" for rule, count in self.invariants.breaches.items()]
        return "".join(lines)
