"""What the relay has taken on, kept in its lasting folder: append-only records, compacted in time.

A record is one line: a checksum and a JSON object. What a line changes is applied by the same code when
it is written and when it is read back. Times in it are Unix milliseconds: no other clock outlasts a process.

Each process writes a file of its own, locked while it runs, and reads along in that of the other if there are
two (`Other`): see docs/design.md, "Replacing the process". A later process's file has a higher number.
"""

from __future__ import annotations

import base64
import fcntl
import json
import logging
import os
import re
import zlib
from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)

BLOCK = 512  # each file counts in whole blocks
# What is counted for a message's line besides its own texts. 1,024 for each was four times what an ended one
# takes: two processes' files then left each other no room while the folder was half empty.
SMALL = 640  # no record but an accepted message's is longer, nor what they add to its line
ENDED = 320  # nothing is added to it any more
SLACK = 64 * BLOCK  # kept free for the records of messages that are held already
PART = 100  # messages that one record hands over: one write for each would hold up the loop
ROOMY = 256 * 1024  # a file under this size is left alone
NAME = re.compile(r"journal(?:-(\d{1,9}))?")


class JournalError(Exception):
    """A record could not be written: what it says must not be promised."""


class JournalFull(JournalError):
    """The folder's limit leaves no room for another message."""


@dataclass(slots=True)
class Attempt:
    at: float  # Unix ms, right before its first byte
    endpoint: str
    zone: int


@dataclass(slots=True)
class Entry:
    """A message taken on: what a client said of it, and what has become of it."""

    id: str
    class_: str
    tenant: str
    dest: int
    key: str | None
    since: float  # Unix ms, when it came in
    due: float
    again: str
    body: bytes
    tries: int = 0
    out: Attempt | None = None
    risk: Attempt | None = None  # the first attempt that may have run
    end: str = ""  # how it ended: delivered, failed, returned or over
    after_ms: float = 0.0
    told: bool = False  # the platform has its notice
    given: bool = False  # to the relay's other process: nothing is written of it here any more

    @property
    def owes_notice(self) -> bool:
        return self.end in ("failed", "returned") and not self.told


def encode(record: dict[str, Any]) -> bytes:
    text = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode(line: bytes) -> dict[str, Any]:
    """ValueError if it is not a whole record as written."""
    check, _, text = line.partition(b" ")
    if len(check) != 8 or int(check, 16) != zlib.crc32(text):
        raise ValueError("the checksum does not match")
    record = json.loads(text)
    if not isinstance(record, dict):
        raise ValueError("not a record")
    return record


def resumed(entry: Entry) -> Entry:
    """As the next process goes on with it: an outcome that died with its process may have been any."""
    return replace(entry, risk=entry.risk or entry.out, out=None, given=False)


def in_parts(entries: list[Entry]) -> list[list[Entry]]:
    """So many as one record may name."""
    return [entries[first : first + PART] for first in range(0, len(entries), PART)]


def progress(entry: Entry) -> tuple[bool, bool, int]:
    """Of two copies, the one that got further is the true one: whoever gave it away wrote no more."""
    return bool(entry.end), entry.told, entry.tries


def attempt(raw: list[Any] | None) -> Attempt | None:
    return Attempt(float(raw[0]), str(raw[1]), int(raw[2])) if raw else None


def snapshot(entry: Entry) -> dict[str, Any]:
    """All that is known of a message, as one record; one that has ended needs its body no more."""
    def flat(tried: Attempt | None) -> list[Any] | None:
        return [round(tried.at), tried.endpoint, tried.zone] if tried else None

    return {
        "k": "take", "id": entry.id, "class": entry.class_, "tenant": entry.tenant, "dest": entry.dest,
        "key": entry.key, "since": round(entry.since), "due": round(entry.due), "again": entry.again,
        "tries": entry.tries, "out": flat(entry.out), "risk": flat(entry.risk), "end": entry.end,
        "after": entry.after_ms, "told": entry.told, "given": entry.given,
        "body": "" if entry.end else base64.b64encode(entry.body).decode(),
    }


class Book:
    """What the records of one file amount to."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.sizes: dict[str, int] = {}  # of each entry's line, were it compacted now
        self.live = 0  # their sum
        self.role = ""  # of its process: see replacement.py
        self.calls: dict[str, int] = {}  # out while it yields, by destination
        self.lanes: dict[tuple[int, str], list[list[Any]]] = {}  # what it told of destinations and routes
        self.withdrawn_ids: list[str] = []  # by clients, as far as nobody has asked

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
            case "give":
                for ident in record["ids"]:
                    self.entries[str(ident)].given = True
            case "handed":
                for ident in record["ids"]:
                    self._forget(str(ident))
            case _:
                return False
        return True

    def _of_a_message(self, record: dict[str, Any]) -> None:
        ident = str(record["id"])
        if record["k"] == "take":
            self._put(Entry(
                ident, str(record["class"]), str(record["tenant"]), int(record["dest"]), record["key"],
                float(record["since"]), float(record["due"]), str(record["again"]),
                base64.b64decode(record["body"]), int(record["tries"]), attempt(record["out"]),
                attempt(record["risk"]), str(record["end"]), float(record["after"]), bool(record["told"]),
                bool(record.get("given")),
            ))
            return
        if record["k"] == "drop":
            self.withdrawn_ids.append(ident)
            self._forget(ident)
            return
        entry = self.entries[ident]
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

    def _put(self, entry: Entry) -> None:
        self.live -= self.sizes.get(entry.id, 0)
        size = len(entry.id) + len(entry.class_) + len(entry.tenant) + len(entry.key or "")
        size += (ENDED if entry.end else SMALL) + 4 * ((len(entry.body) + 2) // 3)
        self.entries[entry.id], self.sizes[entry.id] = entry, size
        self.live += size

    def _forget(self, ident: str) -> None:
        if self.entries.pop(ident, None) is not None:
            self.live -= self.sizes.pop(ident)

    def forget_old(self, now: float) -> None:
        """The ended whose time is up: until then a repeated id gets its answer again."""
        for entry in [e for e in self.entries.values() if e.end and not e.owes_notice and e.due < now]:
            self._forget(entry.id)

    def _records(self, data: bytes) -> None:
        for number, line in enumerate(data.splitlines(), 1):
            try:
                self._apply(decode(line))
            except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
                # Reported and passed over: stopping here would end every later start as well.
                log.error("journal: record %d cannot be used: %r", number, error)


def read_from(file: int, at: int) -> bytes:
    data = b""
    while chunk := os.pread(file, 1 << 20, at + len(data)):
        data += chunk
    return data


def lock(file: int, path: Path) -> bool:
    """Whether the file at this path is ours from now on. A compaction may have put another in its place."""
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return os.path.samestat(os.fstat(file), path.stat())
    except OSError:
        return False


class Other(Book):
    """Another process's file, read along while that process lives; what it leaves is ours."""

    def __init__(self, path: Path, number: int) -> None:
        super().__init__()
        self.path, self.number = path, number
        self.file = os.open(path, os.O_RDWR)
        self.at = 0
        self.dead = False
        self.taken: set[str] = set()  # ids that were taken up from it: never twice
        self.look()

    def look(self) -> None:
        """Reads what has come, and sees whether its process has ended."""
        if self.dead:
            return
        dead = lock(self.file, self.path)  # before the last read: then nothing comes after it
        self._read()
        if not os.path.samestat(os.fstat(self.file), self.path.stat()):
            self._reopen()
            dead = False
        self.dead = dead

    def _read(self) -> None:
        data = read_from(self.file, self.at)
        whole = data.rfind(b"\n") + 1  # the rest is being written
        self.at += whole
        self._records(data[:whole])

    def _reopen(self) -> None:
        """Compacted: the new file says all that still counts."""
        old, self.file, self.at = self.file, os.open(self.path, os.O_RDWR), 0
        os.close(old)
        for kept in (self.entries, self.sizes):
            kept.clear()
        self.live = 0
        self._read()

    def withdrawn_since(self) -> list[str]:
        since, self.withdrawn_ids = self.withdrawn_ids, []
        return since

    def left(self) -> list[Entry]:
        """What its process has given away, or left behind, and nobody has taken up yet."""
        return [e for e in self.entries.values() if e.id not in self.taken and (e.given or self.dead)]

    def close(self, unlink: bool = False) -> None:
        if unlink:
            self.path.unlink(missing_ok=True)
        os.close(self.file)


class Journal(Book):
    def __init__(self, folder: Path, disk_bytes: int) -> None:
        super().__init__()
        self.folder = folder
        self.budget = disk_bytes // BLOCK * BLOCK
        self.others: dict[int, Other] = {}
        self.room_seen = self.budget  # by the latest look: good enough for all but the write itself
        self._open()
        self.size = 0
        self._restore()
        if self.role:
            self.says_role("")  # the dead process's, not ours
        self.calls, self.lanes = {}, {}
        self.look()
        for other in self.others.values():
            self._merge(other)

    def _open(self) -> None:
        """Goes on with the file that ended last, unless a process with a later one runs: then begins one."""
        last = max(self._numbers(), default=-1)
        if last >= 0:
            self._name(last)
            with suppress(FileNotFoundError):  # taken up and removed just now
                self.file = os.open(self.path, os.O_RDWR | os.O_APPEND)
                if lock(self.file, self.path):
                    self.spare.unlink(missing_ok=True)  # a compaction that did not get to its rename
                    return
                os.close(self.file)
        self._name(last + 1)
        self.file = os.open(self.spare, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        # Locked before it has its name: nobody may take it for a dead one's.
        if not lock(self.file, self.spare):
            raise OSError(f"{self.spare} belongs to another process that starts just now")
        os.link(self.spare, self.path)
        self.spare.unlink()

    def _name(self, number: int) -> None:
        self.number, self.path = number, self.folder / (f"journal-{number}" if number else "journal")
        self.spare = self.folder / f"{self.path.name}.new"

    def _numbers(self) -> dict[int, Path]:
        found = ((NAME.fullmatch(name), name) for name in os.listdir(self.folder))
        return {int(match[1] or 0): self.folder / name for match, name in found if match}

    # -- the other process -------------------------------------------------------------------------------

    @property
    def living(self) -> list[Other]:
        return [other for other in self.others.values() if not other.dead]

    def look(self) -> None:
        """Reads along with the others, if there are any."""
        try:
            for number, path in self._numbers().items():
                if number != self.number and number not in self.others:
                    self._meet(number, path)
            for other in list(self.others.values()):
                self._follow(other)
            self.room_seen = self.room
        except OSError as error:  # no descriptor is left, say: what was read stands, and it is tried again
            log.error("journal: the folder cannot be read: %s", error)

    def _follow(self, other: Other) -> None:
        try:
            other.look()
        except FileNotFoundError:  # taken up and removed by yet another process
            other.close()
            del self.others[other.number]

    def _meet(self, number: int, path: Path) -> None:
        try:
            self.others[number] = Other(path, number)
        except FileNotFoundError:
            return
        if not self.others[number].dead and self.size > ROOMY:
            self._compact()  # what the folder may hold is for both from now on

    def _merge(self, other: Other) -> None:
        """At the start: what two files of dead processes say of one message, and who has what was given."""
        for entry in list(other.entries.values()):
            mine = self.entries.get(entry.id)
            if mine is None:
                continue
            if other.dead and progress(entry) > progress(mine):
                self.take(resumed(entry))

    def taken_up(self, other: Other, entry: Entry) -> Entry | None:
        """Makes it ours, unless it is already; JournalError if there is no room yet. What has ended is only
        remembered, in case that it comes again."""
        known, mine = self.entries.get(entry.id), resumed(entry)
        new = known is None or known.given
        if known is None and mine.end and not mine.owes_notice:
            self._put(mine)
        elif new:  # also if it has ended and was given away: our own file says that it waits
            self.take(mine)
        other.taken.add(entry.id)
        return mine if new else None

    def taken_back(self) -> list[Entry]:
        """What was given away, and the one that was to take it has ended without. What it had written down
        comes from its file (`taken_up`), which tells how far it got."""
        theirs = {entry.id for other in self.others.values() for entry in other.left()}
        back = [] if self.living else [resumed(entry) for entry in self.entries.values()
                                       if entry.given and entry.id not in theirs]
        for entry in back:
            self.take(entry)
        return back

    def knows(self, ident: str) -> bool:
        """Whether either process has it, or had it of late."""
        if ident in self.entries:
            return True
        self.look()
        return any(ident in other.entries for other in self.others.values())

    def settle(self) -> bool:
        """Forgets what the taker has written down, and the files of the dead that hold nothing more; whether
        that was all."""
        given = [entry for entry in self.entries.values() if entry.given]
        for some in in_parts([entry for entry in given if self._is_theirs(entry)]):
            self._record({"k": "handed", "ids": [entry.id for entry in some]})
        for other in [other for other in self.others.values() if other.dead and not other.left()]:
            other.close(unlink=True)
            del self.others[other.number]
        if self.living and self.size > max(ROOMY, 2 * self.live):
            self._compact()  # what is handed over leaves room at once, for its taker
        return not self.others and not any(entry.given for entry in self.entries.values())

    def _is_theirs(self, entry: Entry) -> bool:
        theirs = [other.entries.get(entry.id) for other in self.living]
        return any(each is not None and not each.given for each in theirs)

    def give(self, entries: list[Entry]) -> None:
        for some in in_parts(entries):
            self._record({"k": "give", "ids": [entry.id for entry in some]})

    def says_role(self, role: str) -> None:
        self._record({"k": "role", "role": role})

    def says_calls(self, out: dict[str, int]) -> None:
        self._record({"k": "calls", "out": out})

    def says_lane(self, dest: int, endpoint: str, told: list[list[Any]]) -> None:
        self._record({"k": "lane", "dest": dest, "ep": endpoint, "told": told})

    # -- records -----------------------------------------------------------------------------------------

    def take(self, entry: Entry) -> None:
        """Must come before the client's answer."""
        line = encode(snapshot(entry))
        if not self._fits(len(line)):
            self._drop_ended()
            if not self._fits(len(line)):
                raise JournalFull("no room for another message")
        self._make_room(len(line))
        self._write(line)
        self._put(entry)

    def tried(self, entry: Entry, at: float, endpoint: str, zone: int) -> None:
        """Must come before the attempt's first byte."""
        self._record({"k": "try", "id": entry.id, "at": round(at), "ep": endpoint, "zone": zone})

    def outcome(self, entry: Entry, may_have_run: bool) -> None:
        self._record({"k": "out", "id": entry.id, "ran": may_have_run})

    def ended(self, entry: Entry, state: str, after_ms: float = 0.0) -> None:
        self._record({"k": "end", "id": entry.id, "state": state, "after": after_ms})

    def told(self, idents: list[str]) -> None:
        for ident in idents:
            if ident in self.entries:
                self._record({"k": "told", "id": ident})

    def withdrawn(self, ident: str) -> None:
        """Said also of one that was given away: its taker reads it here."""
        self._record({"k": "drop", "id": ident})
        self.withdrawn_ids.clear()  # whoever says so knows

    def tidy(self, now: float) -> None:
        for book in (self, *self.others.values()):
            book.forget_old(now)
        if self.size > max(ROOMY, 4 * self.live):
            self._compact()

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
        self.file = -1  # Guards whatever gets this descriptor next against a late record
        for other in self.others.values():
            other.close()
        self.others.clear()

    # -- memory ------------------------------------------------------------------------------------------

    def _record(self, record: dict[str, Any]) -> None:
        """The change holds in memory also if it can't be written: what is then read back is safe, since a
        try without an outcome may have run, and an end is at worst told twice."""
        line = encode(record)
        self._make_room(len(line))  # before the change: a compaction after it would count it twice
        self._apply(record)
        self._write(line)

    def _drop_ended(self) -> None:
        for entry in [e for e in self.entries.values() if e.end and not e.owes_notice]:
            self._forget(entry.id)

    # -- the file ----------------------------------------------------------------------------------------

    def _restore(self) -> None:
        data = read_from(self.file, 0)
        whole = data.rfind(b"\n") + 1
        if whole < len(data):
            log.warning("journal: a torn record of %d bytes at its end is dropped", len(data) - whole)
            os.ftruncate(self.file, whole)
        self.size = whole
        self._records(data[:whole])
        for entry in self.entries.values():
            if entry.out is not None:  # its outcome died with the process: it may have run
                entry.risk, entry.out = entry.risk or entry.out, None
        self.withdrawn_ids.clear()

    def _blocks(self, size: int) -> int:
        return -(-size // BLOCK) * BLOCK

    @property
    def room(self) -> int:
        """What this process's files may hold: all that the others' leave, and a little that both may miss."""
        if not self.others:
            return self.budget
        with os.scandir(self.folder) as found:
            held = sum(self._blocks(each.stat().st_size) for each in found
                       if each.name not in (self.path.name, self.spare.name))
        return self.budget - held - 2 * SLACK

    def _fits(self, more: int) -> bool:
        """Room for a message, so that a compaction (old file and new together) stays possible."""
        live = self.live + more + SMALL
        return 2 * self._blocks(live) + 2 * SLACK <= self.room_seen

    def _make_room(self, more: int) -> None:
        if self._blocks(self.size + more) + self._blocks(self.live + more) > self.room_seen - SLACK:
            self._compact()

    def _write(self, line: bytes) -> None:
        try:
            if self._blocks(self.size + len(line)) > self.room:
                raise OSError("the folder's limit is reached")
            written = os.write(self.file, line)
            if written < len(line):
                os.ftruncate(self.file, self.size)  # half a record would spoil the next
                raise OSError("short write")
        except OSError as error:
            raise JournalError(f"journal: {error}") from error
        self.size += len(line)

    def _compact(self) -> None:
        """Old and new lie side by side until the rename; a kill at any point leaves one of them whole."""
        lines = b"".join(encode(record) for record in self._whole())
        if self._blocks(self.size) + self._blocks(len(lines)) > self.room:
            log.error("journal: no room to compact %d bytes to %d", self.size, len(lines))
            return
        try:
            new = os.open(self.spare, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                if not lock(new, self.spare):  # before the rename: nobody may take a file for a dead one's
                    raise OSError("the new file cannot be locked")
                if os.write(new, lines) < len(lines):
                    raise OSError("short write")
                os.rename(self.spare, self.path)
            except OSError:
                os.close(new)
                self.spare.unlink(missing_ok=True)
                raise
        except OSError as error:
            log.error("journal: cannot compact: %s", error)
            return
        os.close(self.file)
        self.file, self.size = new, len(lines)

    def _whole(self) -> list[dict[str, Any]]:
        """All that counts, as records."""
        records: list[dict[str, Any]] = [snapshot(entry) for entry in self.entries.values()]
        if self.others:
            records += [{"k": "lane", "dest": dest, "ep": endpoint, "told": told}
                        for (dest, endpoint), told in self.lanes.items()]
            records.append({"k": "calls", "out": self.calls})
        return [*records, {"k": "role", "role": self.role}] if self.role else records
