"""Journals of the relay's other processes: read along while those live, and taken up from then on."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from . import clock
from .book import Book
from .journal_file import LineReader, lock_of_the_dead
from .records import Entry, progress


class OtherJournal(Book):
    """Another process's file, read along while that process lives; what it leaves is ours."""

    def __init__(self, path: Path, number: int) -> None:
        super().__init__()
        self.path, self.number = path, number
        self.at = 0
        self.dead = False
        self.taken: set[str] = set()  # ids that were taken up from it: never twice
        self.seen_unready: set[str] = set()  # of its endpoints that are not ready, those that were asked for
        self.seen_changes = (-1, False)  # what they depended on then
        self.file = os.open(path, os.O_RDWR)
        try:
            self.look()
        except OSError:
            self.close()
            raise
        self.met_living = not self.dead

    def look(self) -> None:
        """Reads what has come, and sees whether its process has ended. FileNotFoundError: it is removed."""
        if self.dead:
            os.stat(self.path)
            return
        dead = lock_of_the_dead(self.file, self.path)  # before the last read: then nothing comes after it
        self._read()
        if not os.path.samestat(os.fstat(self.file), os.stat(self.path)):
            self._reopen()
            dead = False
        self.dead = dead
        if dead:
            self.goes_on(clock.boot_id(), clock.now_ms())

    def _read(self) -> None:
        reader = LineReader(self.file, self.at)  # what follows the last whole line is being written
        try:
            self._records(reader)
        finally:
            self.at = reader.at

    def _reopen(self) -> None:
        """Compacted: the new file says all that still counts."""
        old, self.file, self.at = self.file, os.open(self.path, os.O_RDWR), 0
        os.close(old)
        for kept in (self.entries, self.sizes, self.told_unready, self.heard_unready):
            kept.clear()
        self.entries_bytes = self.sequence = 0
        self._read()

    def withdrawn_since(self) -> list[str]:
        since, self.withdrawn_ids = self.withdrawn_ids, []
        return since

    def unready_since(self) -> set[str]:
        """Endpoints that its process has said since this was last asked are not ready. A living one's word
        is what discovery told itself: what it heard from others would go to and fro between two."""
        changes = (self.unready_changes, self.dead)
        if changes == self.seen_changes:
            return set()
        names = self.all_unready if self.dead else self.unlisted
        new, self.seen_unready, self.seen_changes = names - self.seen_unready, names, changes
        return new

    def left(self) -> list[Entry]:
        """What its process has given away, or left behind, and nobody has taken up yet."""
        return [e for e in self.entries.values() if e.id not in self.taken and (e.given or self.dead)]

    def close(self, unlink: bool = False) -> None:
        if unlink:
            self.path.unlink(missing_ok=True)
        os.close(self.file)

    def owes(self, ident: str) -> bool:
        """Whether its file says that this message has not ended."""
        entry = self.entries.get(ident)
        return entry is not None and not entry.end

    def has_body(self, ident: str) -> bool:
        """Whether its file has the body of a message that is owed."""
        return self.owes(ident) and not self.entries[ident].borrowed

    def rank(self, ident: str) -> tuple[bool, tuple[bool, bool, int], bool, bool, int]:
        """Of copies of one message the highest is the one to go by: what a living process holds, else what
        got further, else what a living process offers."""
        entry = self.entries[ident]
        return (
            not self.dead and not entry.given,
            progress(entry),
            not self.dead,
            not entry.given,
            self.number,
        )


class OtherJournals(dict[int, OtherJournal]):
    """All other files of the folder, by their numbers. OSError as of reading the folder."""

    @property
    def living(self) -> list[OtherJournal]:
        return [other for other in self.values() if not other.dead]

    def follow(self, numbers: dict[int, Path], met: Callable[[OtherJournal], None]) -> None:
        """Reads what has come in these files; `met` is told of each that is new."""
        for number, path in numbers.items():
            if number not in self:
                self._meet(number, path, met)
        for other in list(self.values()):
            self._look(other)

    def _meet(self, number: int, path: Path, met: Callable[[OtherJournal], None]) -> None:
        try:
            self[number] = OtherJournal(path, number)
        except FileNotFoundError:
            return
        met(self[number])

    def _look(self, other: OtherJournal) -> None:
        try:
            other.look()
        except FileNotFoundError:  # taken up and removed by yet another process
            other.close()
            del self[other.number]

    def unready_since(self) -> set[str]:
        """Endpoints that any of them has said since this was last asked are not ready."""
        return set[str]().union(*(other.unready_since() for other in self.values()))

    def copies_of(self, ident: str) -> list[Entry]:
        return [other.entries[ident] for other in self.values() if ident in other.entries]

    def body_of(self, ident: str) -> bytes | None:
        """Of a message that is owed, where one of the files has it."""
        return next((other.entries[ident].body for other in self.values() if other.has_body(ident)), None)

    def owe(self, ident: str) -> bool:
        """Whether a process that starts would believe of any of the files that this message is owed."""
        return any(other.owes(ident) for other in self.values())

    def to_take_up(self, other: OtherJournal) -> list[Entry]:
        """What is left there, and of which no other file has a copy that goes before."""
        return [entry for entry in other.left() if not self._has_better(other, entry.id)]

    def _has_better(self, other: OtherJournal, ident: str) -> bool:
        copies = (each for each in self.values() if each is not other and ident in each.entries)
        return any(each.rank(ident) > other.rank(ident) for each in copies)

    def is_lending(self, lender: OtherJournal, mine: Book) -> bool:
        """Whether a message that is owed has its body in that file alone."""
        books = [mine, *(each for each in self.values() if each is not lender)]
        borrowed = (entry for book in books for entry in book.entries.values() if entry.borrowed)
        return any(not entry.end and lender.has_body(entry.id) for entry in borrowed)

    def remove(self, other: OtherJournal) -> None:
        """Its file, of which nothing counts any more."""
        other.close(unlink=True)
        del self[other.number]

    def close(self) -> None:
        for other in self.values():
            other.close()
        self.clear()
