"""What the records of one journal file amount to: the messages, and what its process told of itself."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from typing import Any

from . import clock
from .bounded_names import BoundedNames
from .records import TORN, WITHDRAWN, Attempt, Entry, decode, entry_of, settled, text_bytes

log = logging.getLogger(__name__)

# What is counted for a message's line besides its own texts. 1,024 for each was four times what an ended one
# takes: two processes' files then left each other no room while the folder was half empty.
SMALL = 640  # no record but an accepted message's is longer, nor what they add to its line
ENDED = 320  # nothing is added to it any more
SETTLED = 128  # many share a record; also bounds how many of them memory holds
STEP_MS = 1000.0  # the monotonic clock never goes back: if it seems to by so much, the boot is another
MOST_UNREADY = 8192  # endpoints: several times as many as a list has, and 5% of the smallest folder
WINDOW_CLOSED_MS = -1e12  # when an attempt began that another boot made: no key window is still open


class Book:
    """State read from records. The same code applies a record when it is written and when it is read back."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.sizes: dict[str, int] = {}  # of each entry's line, were it compacted now
        self.entries_bytes = 0  # their sum
        self.first_over_ms = math.inf  # when the first of those that have ended may be forgotten
        self.role = ""  # of its process: see replacement.py
        self.calls: dict[str, int] = {}  # out while it yields, by destination
        self.lanes: dict[tuple[int, str], list[list[Any]]] = {}  # what it told of destinations and routes
        self.told_unready = BoundedNames(MOST_UNREADY)  # endpoints, as discovery told its process
        self.heard_unready = BoundedNames(MOST_UNREADY)  # and as another process of the relay did
        self.unready_changes = 0  # how often either has changed
        self.repeated_ids: set[str] = set()  # the other process's, accepted here once more
        self.withdrawn_ids: list[str] = []  # by clients, as far as nobody has asked
        self.sequence = 0  # `n` of the latest record
        self.boot: str | None = None  # of the latest record; None: none has told yet
        self.latest_ms = 0.0  # the latest record's time

    @property
    def live(self) -> int:
        """What a compaction would leave, at most."""
        return self.entries_bytes + self.told_unready.record_bytes + self.heard_unready.record_bytes

    # -- reading -----------------------------------------------------------------------------------------

    def _records(self, lines: Iterable[bytes]) -> None:
        for number, line in enumerate(lines, 1):
            if line == TORN:
                continue  # a write that failed left nothing
            try:
                self._read_record(decode(line))
            except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
                # Reported and passed over: stopping here would end every later start as well.
                log.error("journal: record %d cannot be used: %r", number, error)

    def _read_record(self, record: dict[str, Any]) -> None:
        number = int(record.get("n", self.sequence + 1))
        if number <= self.sequence:
            return  # written twice, since its first write was reported as failed
        self.sequence = number
        if "b" in record:
            self.goes_on(str(record["b"]), float(record["t"]))
        self._apply(record)

    def goes_on(self, boot: str, at_ms: float) -> None:
        """From here on times are of this boot, the first of them `at_ms`. Those of an earlier boot cannot be
        compared with them: what was known then counts as known now, so that no message dies that may live,
        and no key window is taken for open."""
        same = boot == self.boot or "" in (boot, self.boot)
        if self.entries and (not same or at_ms < self.latest_ms - STEP_MS):
            shift = at_ms - (clock.wall_ms() if self.boot is None else self.latest_ms)
            log.warning("journal: its times are of another boot or version, and move by %.0f ms", shift)
            for entry in self.entries.values():
                self._rebase(entry, shift)
            self.first_over_ms += shift
        self.boot, self.latest_ms = boot, at_ms

    def _rebase(self, entry: Entry, shift_ms: float) -> None:
        entry.since, entry.due = entry.since + shift_ms, entry.due + shift_ms
        for tried in (entry.out, entry.risk):
            if tried is not None:
                tried.at = tried.at + shift_ms if self.boot is None else WINDOW_CLOSED_MS

    # -- changes -----------------------------------------------------------------------------------------

    def _apply(self, record: dict[str, Any]) -> None:
        if not self._of_several(record):
            self._of_a_message(record)

    def _of_several(self, record: dict[str, Any]) -> bool:
        match record["k"]:
            case "role":
                self.role = str(record["role"])
            case "calls":
                self.calls = {str(dest): int(calls) for dest, calls in record["out"].items()}
            case "lane":
                self.lanes[int(record["dest"]), str(record["ep"])] = list(record["told"])
            case "unlisted":
                self._unready([str(name) for name in record["names"]], bool(record.get("heard")))
            case "listed":
                self._ready([str(name) for name in record["names"]])
            case "give":
                for entry in filter(None, map(self.entries.get, record["ids"])):
                    entry.given = True
            case "handed":
                for ident in record["ids"]:
                    self._forget(str(ident))
            case "ends":
                end = str(record["state"])
                for ident, due, after_ms, tries in record["of"]:
                    self._put(settled(str(ident), end, float(due), float(after_ms), int(tries)))
            case _:
                return False
        return True

    def _unready(self, names: list[str], heard: bool) -> None:
        self._ready(names)
        (self.heard_unready if heard else self.told_unready).add(names)

    def _ready(self, names: list[str]) -> None:
        self.unready_changes += 1
        for kept in (self.told_unready, self.heard_unready):
            kept.discard(names)

    @property
    def unlisted(self) -> set[str]:
        """Endpoints that are not ready any more, as discovery told this file's process."""
        return set(self.told_unready)

    @property
    def all_unready(self) -> set[str]:
        """The same, or as another process of the relay did."""
        return {*self.told_unready, *self.heard_unready}

    def _of_a_message(self, record: dict[str, Any]) -> None:
        ident = str(record["id"])
        match record["k"]:
            case "take":
                self._take(entry_of(record))
            case "drop":
                self.withdrawn_ids.append(ident)
                self._withdraw(ident, bool(record.get("elsewhere")))
            case "again":
                self.repeated_ids.add(ident)
            case "void":  # its `take` was refused to its client, and may stand here all the same
                self._forget(ident)
            case _:
                self._of_a_known_message(self.entries[ident], record)

    def _of_a_known_message(self, entry: Entry, record: dict[str, Any]) -> None:
        match record["k"]:
            case "try":
                # One that is still out here died with its process: nothing was written of it after the kill.
                entry.risk = entry.risk or entry.out
                entry.tries += 1
                entry.out = Attempt(float(record["at"]), str(record["ep"]), int(record["zone"]))
            case "out":
                if record["ran"] and entry.risk is None:
                    entry.risk = entry.out
                entry.out = None
            case "end":
                entry.end, entry.after_ms, entry.body = str(record["state"]), float(record["after"]), b""
                entry.out = entry.risk = None
                self._put(entry)
            case "told":
                entry.told = True
            case kind:
                raise ValueError(f"unknown record {kind!r}")
        if entry.is_settled:
            self._put(settled(entry.id, entry.end, entry.due, entry.after_ms, entry.tries))

    def _take(self, entry: Entry) -> None:
        """A snapshot without a body says what has become of a message whose body came before."""
        known = self.entries.get(entry.id)
        if entry.borrowed and known is not None and not known.end:
            entry.body, entry.borrowed = known.body, known.borrowed
        self._put(entry)

    def _withdraw(self, ident: str, elsewhere: bool) -> None:
        """One that may have run, or of which another file tells, is remembered: its id may come again."""
        entry = self.entries.get(ident)
        if entry is None or entry.end:
            return
        if entry.may_have_run or entry.given or elsewhere:
            entry.end, entry.body = WITHDRAWN, b""
            self._put(entry)
        else:
            self._forget(ident)

    def _put(self, entry: Entry) -> None:
        size = _line_bytes(entry)
        self.entries_bytes += size - self.sizes.get(entry.id, 0)
        self.entries[entry.id], self.sizes[entry.id] = entry, size
        if entry.end:
            self.first_over_ms = min(self.first_over_ms, entry.due)

    def _forget(self, ident: str) -> None:
        self.repeated_ids.discard(ident)
        if self.entries.pop(ident, None) is not None:
            self.entries_bytes -= self.sizes.pop(ident)

    def forget_old(self, now_ms: float) -> None:
        """The ended whose time is up: until then a repeated id gets its answer again."""
        for entry in [e for e in self.entries.values() if e.due < now_ms and self._may_forget(e)]:
            self._forget(entry.id)
        ended = (entry.due for entry in self.entries.values() if entry.end)
        self.first_over_ms = min(ended, default=math.inf)

    def _may_forget(self, entry: Entry) -> bool:
        """Whether one whose time is up needs no record any more: not while its call is out."""
        return bool(entry.end) and not entry.owes_notice and entry.out is None


def _line_bytes(entry: Entry) -> int:
    """Of an entry's line in a compacted file, at most, with what its later records add to it."""
    if entry.is_settled:
        return SETTLED + text_bytes(entry.id)
    size = sum(map(text_bytes, (entry.id, entry.class_, entry.tenant, entry.key or "")))
    body = 0 if entry.end or entry.borrowed else 4 * ((len(entry.body) + 2) // 3)
    return size + body + (ENDED if entry.end else SMALL)
