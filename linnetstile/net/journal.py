"""What the relay has taken on, kept in its lasting folder: append-only records, compacted in time.

What memory knows and the file does not is a queue (`waiting`), written in order as soon as the folder takes
it again and before anything new. While it is not empty nothing new is promised: no message is taken on, and
no call begins whose try is not on file.

Each process writes a file of its own, locked while it runs, and reads along in that of the other if there are
two (`OtherJournal`): see docs/design.md, "Replacing the process". A later process's file has a higher number.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from ..disk_budget import SMALLEST_COMPACTED_BYTES, DiskBudget, FileSizes, in_blocks
from . import clock
from .book import SMALL, Book
from .journal_file import JournalFile
from .other_journal import OtherJournal, OtherJournals
from .records import (
    Attempt,
    Entry,
    decode,
    encode,
    in_parts,
    progress,
    resumed,
    settled_records,
    snapshot,
    state_of,
)
from .state_folder import FolderContents, StateFolder, journal_name

__all__ = [
    "Attempt",
    "Entry",
    "Journal",
    "JournalError",
    "JournalFull",
    "decode",
    "encode",
    "snapshot",
]

log = logging.getLogger(__name__)

STAMP = 48  # bytes that `n`, `t` and `b` add to a record
FORGET_FOR_ROOM_MS = 50.0  # after the first of them has become over


class JournalError(Exception):
    """A record could not be written: what it says must not be promised."""


class JournalFull(JournalError):
    """The folder's limit leaves no room for another message."""


class Journal(Book):
    """OSError from the constructor: the folder fails, and nothing of it has been changed."""

    def __init__(self, folder: Path, disk_bytes: int) -> None:
        super().__init__()
        self.folder = StateFolder(folder)
        self.others_bytes = 0  # of the folder's other files, as of the latest look
        self.budget = DiskBudget(disk_bytes)
        self.others = OtherJournals()
        self.waiting: deque[dict[str, Any]] = deque()  # what memory knows and the file does not, oldest first
        self.unknown_records = 0  # of messages that are not known: a fault of this program
        self.closed = False
        self.failing = False  # the folder takes no records, and the log has said so
        contents = self.folder.contents()
        self._open(max(contents.journals, default=-1))
        self._measure_others(contents)
        try:
            self._restore()
            self._look()
        except OSError:
            self.close()
            raise
        if self.role:
            self._change({"k": "role", "role": ""})  # the dead process's, not ours
        for other in self.others.values():
            self._merge(other)
        self._find_bodies()
        self.flush()

    def _open(self, last: int) -> None:
        """Goes on with the file that ended last, unless a process with a later one runs: then begins one.
        `last`: the highest number of a file; -1: there is none."""
        if last >= 0:
            self._name(last)
            if self.journal_file.open():
                return
        self._name(last + 1)
        try:
            self.journal_file.create()
        except OSError:
            self.journal_file.close()
            raise

    def _name(self, number: int) -> None:
        self.number = number
        self.journal_file = JournalFile(self.folder.path / journal_name(number))

    @property
    def path(self) -> Path:
        return self.journal_file.path

    @property
    def file(self) -> int:
        """The descriptor; -1 once closed."""
        return self.journal_file.file

    @property
    def size(self) -> int:
        return self.journal_file.size

    # -- the other process -------------------------------------------------------------------------------

    @property
    def living(self) -> list[OtherJournal]:
        return self.others.living

    def _look(self) -> None:
        contents = self.folder.contents()
        journals = {number: path for number, path in contents.journals.items() if number != self.number}
        self.others.follow(journals, self._met)
        dead = {other.number for other in self.others.values() if other.dead}
        living = {self.number, *self.others} - dead
        if self.folder.remove_leftover_spares(contents.spares, living, dead):
            contents = self.folder.contents()
        self._measure_others(contents)
        self.budget.room_bytes = self._room_beside_others()

    def _measure_others(self, contents: FolderContents) -> None:
        self.others_bytes = contents.bytes_besides(self.journal_file.names)

    def look(self) -> None:
        """Reads along with the others, if there are any."""
        try:
            self._look()
        except OSError as error:  # no descriptor is left, say: what was read stands, and it is tried again
            log.error("journal: the folder cannot be read: %s", error)

    def _met(self, other: OtherJournal) -> None:
        if not other.dead and self.size > SMALLEST_COMPACTED_BYTES:
            self._compact()  # what the folder may hold is for both from now on

    def _merge(self, other: OtherJournal) -> None:
        """At the start: what two files of dead processes say of one message, and who has what was given."""
        for entry in list(other.entries.values()):
            mine = self.entries.get(entry.id)
            if mine is None:
                continue
            if other.dead and progress(entry) > progress(mine):
                self._change(state_of(resumed(entry)))

    def _find_bodies(self) -> None:
        """At the start: of messages whose bodies an earlier process left in a file of its own."""
        for entry in [each for each in self.entries.values() if each.borrowed and not each.end]:
            self._find_body(entry)
            if entry.end:
                self._change(snapshot(entry))

    def _find_body(self, entry: Entry) -> None:
        """One whose body is nowhere ends: nothing else may be sent in its place."""
        body = self.others.body_of(entry.id)
        if body is not None:
            entry.body = body
            return
        log.error("journal: the body of message %s is lost", entry.id)
        entry.end, entry.borrowed = "failed", False

    def taken_up(self, other: OtherJournal, entry: Entry) -> Entry | None:
        """Makes it ours, unless it is already. It is held from now on, also where the folder takes no record
        of it yet: the other file keeps it until then."""
        known = self.entries.get(entry.id)
        other.taken.add(entry.id)
        if known is not None and not known.given:
            return None
        mine = resumed(entry)
        if known is not None and known.end and not mine.end:
            mine.end, mine.body = known.end, b""  # it was taken back, which its taker had not read
        if not mine.end:
            self._choose_body(mine, known)
        record = snapshot(mine)
        self._make_room(len(encode(record)) + STAMP)
        self._change(record)
        self.flush()
        self.entries[mine.id].body = mine.body
        return self.entries[mine.id]

    def _choose_body(self, entry: Entry, known: Entry | None) -> None:
        """It is copied where there is room; else it stays in the file where it is until the message ends."""
        if known is not None:  # was given away, and its body is where it was
            entry.body, entry.borrowed = known.body, True
        elif entry.borrowed:
            self._find_body(entry)
        else:
            entry.borrowed = not self._fits(len(encode(snapshot(entry))) + STAMP)

    def ends_taken_up(self, other: OtherJournal) -> list[Entry]:
        """All that has ended there and is not known here, many to a record: an id may come again until its
        message's time is over."""
        ended = [entry for entry in other.left() if entry.is_settled and entry.id not in self.entries]
        other.taken.update(entry.id for entry in ended)
        for record in settled_records(ended):
            self._make_room(len(encode(record)) + STAMP)
            self._change(record)
        self.flush()
        return ended

    def taken_back(self) -> Iterator[Entry]:
        """What was given away, and the one that was to take it has ended without. What it had written down
        comes from its file (`taken_up`), which tells how far it got."""
        theirs = {entry.id for other in self.others.values() for entry in other.left()}
        back = (
            []
            if self.living
            else [resumed(entry) for entry in self.entries.values() if entry.given and entry.id not in theirs]
        )
        for entry in back:  # one by one: whoever asks holds each before the next may fail
            self._now(state_of(entry), SMALL, {"k": "give", "ids": [entry.id]})
            self._put(entry)
            yield entry

    def find(self, ident: str) -> Entry | None:
        """What either process has of it, or had of late."""
        mine = self.entries.get(ident)
        if mine is not None:
            return mine
        self.look()
        copies = self.others.copies_of(ident)
        return max(copies, key=progress) if copies else None

    def knows(self, ident: str) -> bool:
        return self.find(ident) is not None

    def has_come_again(self, ident: str) -> bool:
        """Whether the other process has accepted it once more."""
        self.look()
        return any(ident in other.repeated_ids for other in self.living)

    def settle(self) -> bool:
        """Forgets what the taker has written down, and the files of the dead that hold nothing more; whether
        that was all."""
        given = [entry for entry in self.entries.values() if entry.given]
        self._record(
            *(
                {"k": "handed", "ids": [entry.id for entry in some]}
                for some in in_parts([entry for entry in given if self._is_theirs(entry)])
            )
        )
        self._copy_bodies()
        self._flushed()  # nobody else knows what the files below say, once they are gone
        for other in [each for each in self.others.values() if each.dead and not each.left()]:
            if not self.others.is_lending(other, self):
                self.others.remove(other)
        if self.living and self.size > max(SMALLEST_COMPACTED_BYTES, 2 * self.live):
            self._compact_if_it_may_succeed()  # what is handed over leaves room at once, for its taker
        return not self.others and not any(entry.given for entry in self.entries.values())

    def _copy_bodies(self) -> None:
        """Of messages whose bodies are in other files, as many as there is room for."""
        for entry in [each for each in self.entries.values() if each.borrowed and not each.end]:
            whole = snapshot(replace(entry, borrowed=False))
            size = len(encode(whole)) + STAMP
            if not self._fits(size):
                return
            self._make_room(size)
            self._queue(whole)
            entry.borrowed = False
            self._put(entry)

    def _is_theirs(self, entry: Entry) -> bool:
        """Whether its taker has written it down, and needs its body here no more."""
        theirs = [other.entries.get(entry.id) for other in self.living]
        taken = [each for each in theirs if each is not None and not each.given]
        return any(each.end or not each.borrowed for each in taken)

    def give(self, entries: list[Entry]) -> None:
        self._record(*({"k": "give", "ids": [entry.id for entry in some]} for some in in_parts(entries)))

    def says_unlisted(self, names: set[str], among: set[str]) -> None:
        """Which of these endpoints are not ready any more, as discovery has told; the others of them are."""
        listed = sorted(name for name in among - names if self._is_unready(name))
        unlisted = sorted(name for name in names if name not in self.told_unready)
        changes = [("unlisted", unlisted), ("listed", listed)]
        self._record(
            *({"k": kind, "names": list(some)} for kind, changed in changes for some in in_parts(changed))
        )

    def heard_unlisted(self, names: set[str]) -> None:
        """The same of endpoints of which another process of this relay was told: it binds also the next."""
        new = sorted(name for name in names if not self._is_unready(name))
        self._record(*({"k": "unlisted", "names": list(some), "heard": True} for some in in_parts(new)))

    def _is_unready(self, name: str) -> bool:
        return name in self.told_unready or name in self.heard_unready

    def known_unlisted(self) -> set[str]:
        """As this process, or an earlier or another one of this relay, has heard."""
        return self.all_unready.union(*(other.all_unready for other in self.others.values()))

    def says_role(self, role: str) -> None:
        self._record({"k": "role", "role": role})

    def says_calls(self, out: dict[str, int]) -> None:
        self._record({"k": "calls", "out": out})

    def says_lane(self, dest: int, endpoint: str, told: list[list[Any]]) -> None:
        self._record({"k": "lane", "dest": dest, "ep": endpoint, "told": told})

    # -- records -----------------------------------------------------------------------------------------

    def take(self, entry: Entry) -> None:
        """Must come before the client's answer."""
        size = len(encode(snapshot(entry))) + STAMP
        if not self._fits(size):
            self._forget_for_room()
            if not self._fits(size):
                raise JournalFull("no room for another message")
        self._now(snapshot(entry), size, {"k": "void", "id": entry.id})
        self._put(entry)

    def tried(self, entry: Entry, at: float, endpoint: str, zone: int) -> None:
        """Must come before the attempt's first byte."""
        record = {"k": "try", "id": entry.id, "at": round(at), "ep": endpoint, "zone": zone}
        self._now(record, SMALL, {"k": "out", "id": entry.id, "ran": False})
        self._apply(record)

    def outcome(self, entry: Entry, may_have_run: bool) -> None:
        self._record({"k": "out", "id": entry.id, "ran": may_have_run})

    def ended(self, entry: Entry, state: str, after_ms: float = 0.0) -> None:
        self._record({"k": "end", "id": entry.id, "state": state, "after": after_ms})

    def told(self, idents: list[str]) -> None:
        self._record(*({"k": "told", "id": ident} for ident in idents if ident in self.entries))

    def repeated(self, ident: str) -> None:
        """The other process's message has come again, and its client hears here that it is accepted."""
        self._record({"k": "again", "id": ident})

    def withdrawn(self, ident: str) -> None:
        """Said also of one that was given away: its taker reads it here."""
        self._record({"k": "drop", "id": ident, "elsewhere": self.others.owe(ident)})
        self.withdrawn_ids.clear()  # whoever says so knows

    def tidy(self, now_ms: float) -> None:
        for book in (self, *self.others.values()):
            book.forget_old(now_ms)
        self.budget.retry_compaction()
        if self.size > max(SMALLEST_COMPACTED_BYTES, 4 * self.live):
            self._compact()

    def close(self) -> None:
        if not self.closed and self.waiting and not self.flush():
            log.error("journal: %d records are lost with this process", len(self.waiting))
        self.closed = True
        self.journal_file.close()
        self.others.close()

    # -- memory ------------------------------------------------------------------------------------------

    def _record(self, *records: dict[str, Any]) -> None:
        """All changes hold in memory at once, and on file as soon as the folder takes them; JournalError says
        that it does not yet."""
        for record in records:
            self._make_room(len(encode(record)) + STAMP)  # before the change: else it would count twice
            self._change(record)
        if records:
            self._flushed()

    def _change(self, record: dict[str, Any]) -> None:
        """One that is of no message here is passed over: it must not keep others from being written, nor
        whoever tells it from what is to be done besides."""
        try:
            self._apply(record)
        except KeyError as error:
            self.unknown_records += 1
            log.error("journal: %r of message %s, which is not known", record["k"], error)
        else:
            self._queue(record)

    def _flushed(self) -> None:
        if not self.flush():
            raise JournalError(f"journal: the folder takes no records, {len(self.waiting)} wait")

    def _now(self, record: dict[str, Any], size: int, undo: dict[str, Any]) -> None:
        """Writes what is promised with it; JournalError: it must not be. It may stand in the file all the
        same, so the file is told to undo it, before anything that comes later."""
        self._flushed()
        self._make_room(size)
        try:
            self._write(encode(self._stamped(record)))
        except OSError as error:
            self._queue(undo)
            raise JournalError(f"journal: {error}") from error

    def _queue(self, record: dict[str, Any]) -> None:
        self.waiting.append(self._stamped(record))

    def flush(self) -> bool:
        """Whether the file knows all that memory does."""
        while self.waiting:
            try:
                self._write(encode(self.waiting[0]))
            except OSError as error:
                if not self.failing:
                    log.error("journal: the folder takes no records: %s", error)
                self.failing = True
                return False
            self.waiting.popleft()
        if self.failing:
            log.info("journal: the folder takes records again")
        self.failing = False
        return True

    def _stamped(self, record: dict[str, Any]) -> dict[str, Any]:
        self.sequence += 1
        self.boot, self.latest_ms = clock.boot_id(), float(int(clock.now_ms()))
        return {**record, "n": self.sequence, "t": int(self.latest_ms), "b": self.boot}

    def _forget_for_room(self) -> None:
        """Not for each message that is over: all are looked at."""
        now = clock.now_ms()
        if now > self.first_over_ms + FORGET_FOR_ROOM_MS:
            self.forget_old(now)

    def _may_forget(self, entry: Entry) -> bool:
        """Not while another file says that it is owed: a later process would believe that."""
        return super()._may_forget(entry) and not self.others.owe(entry.id)

    # -- the file ----------------------------------------------------------------------------------------

    def _restore(self) -> None:
        self._records(self.journal_file.read())
        legacy = self.boot is None and bool(self.entries)
        self.goes_on(clock.boot_id(), float(int(clock.now_ms())))
        for entry in self.entries.values():
            if entry.out is not None:  # its outcome died with the process: it may have run
                entry.risk, entry.out = entry.risk or entry.out, None
        self.withdrawn_ids.clear()
        self.calls, self.lanes = {}, {}
        if legacy:
            self._compact()

    @property
    def room(self) -> int:
        """Bytes that this process's files may take: all that the others leave."""
        if self.others:  # they are written to between two looks
            self._measure_others(self.folder.contents())
        return self._room_beside_others()

    def _room_beside_others(self) -> int:
        """As of when they were measured last."""
        return self.budget.room(self.others_bytes, bool(self.others))

    @property
    def folder_bytes(self) -> int:
        """What all files of the folder take, as of the latest look."""
        return in_blocks(self.size) + self.others_bytes

    def _fits(self, more: int) -> bool:
        """Room for a message."""
        return self.budget.accepts(self.live + more + SMALL)

    def _make_room(self, more: int) -> None:
        if self.budget.asks_for_compaction(self._sizes, more):
            self._forget_for_room()  # a start has read also what was over before it
            if self.budget.asks_for_compaction(self._sizes, more):
                self._compact_if_it_may_succeed()

    @property
    def _sizes(self) -> FileSizes:
        return FileSizes(self.size, self.live)

    def _write(self, line: bytes) -> None:
        if self.closed:
            raise OSError("the journal is closed")
        if in_blocks(self.size + len(line)) > self.room:
            raise OSError("the folder's limit is reached")
        self.journal_file.append(line)

    def _compact_if_it_may_succeed(self) -> None:
        if self.budget.compaction_may_succeed(self._sizes):
            self._compact()

    def _compact(self) -> None:
        """Leaves all as it is if the folder does not take it."""
        lines = [encode(self._stamped(record)) for record in self._whole()]
        size = sum(map(len, lines))
        try:
            excess = self.budget.compaction_excess(FileSizes(self.size, size), self.room, bool(self.others))
            if excess:
                log.error("journal: no room to compact %d bytes to %d", self.size, size)
                self.budget.compaction_failed(self._sizes, excess)
                return
            self.journal_file.replace(lines)
        except OSError as error:
            log.error("journal: cannot compact: %s", error)
            self.budget.compaction_failed(self._sizes, None)
            return
        self.budget.retry_compaction()
        # The new file says all that memory knows, but for what another process is still to read here.
        self.waiting = deque(self._stamped(record) for record in self.waiting if record["k"] == "drop")

    def _whole(self) -> Iterator[dict[str, Any]]:
        """All that counts, as records."""
        yield from map(snapshot, (entry for entry in self.entries.values() if not entry.is_settled))
        yield from settled_records(entry for entry in self.entries.values() if entry.is_settled)
        if self.others:
            for (dest, endpoint), told in self.lanes.items():
                yield {"k": "lane", "dest": dest, "ep": endpoint, "told": told}
            yield {"k": "calls", "out": self.calls}
        for some in in_parts(list(self.heard_unready)):
            yield {"k": "unlisted", "names": list(some), "heard": True}
        for some in in_parts(list(self.told_unready)):
            yield {"k": "unlisted", "names": list(some)}
        if self.role:
            yield {"k": "role", "role": self.role}
