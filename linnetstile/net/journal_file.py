"""One file of records: locked while its process lives, appended to, replaced whole by a compaction.

Owns what a failing disk may do to it. After a write that failed or fell short the file's end is unknown, so
the next record first ends what may stand there; a rename that failed may have taken effect, so the name is
asked for before anything else is written.
"""

from __future__ import annotations

import fcntl
import logging
import os
from collections.abc import Iterator, Sequence
from contextlib import suppress
from pathlib import Path

from .records import TORN

log = logging.getLogger(__name__)

PART_BYTES = 64 * 1024  # read or written at once: a whole file would stand in memory several times
FLAGS = os.O_RDWR | os.O_APPEND
SPARE_SUFFIX = ".new"
CREATE_TRIES = 100  # another process may hold the lock for a moment, to see whether the file was left behind


class LineReader:
    """The whole lines of a file from a position on, which moves behind each line as it is taken.

    OSError as of pread(2): it may go on after one.
    """

    def __init__(self, file: int, at: int = 0) -> None:
        self.file, self.at = file, at
        self.rest_bytes = 0  # behind the last whole line, once all are read

    def __iter__(self) -> Iterator[bytes]:
        rest = b""
        while part := os.pread(self.file, PART_BYTES, self.at + len(rest)):
            *lines, rest = (rest + part).split(b"\n")
            for line in lines:
                self.at += len(line) + 1
                yield line
        self.rest_bytes = len(rest)


def lock(file: int, path: Path, kind: int = fcntl.LOCK_EX) -> bool:
    """Whether the file at this path is ours from now on. A compaction may have put another in its place."""
    try:
        fcntl.flock(file, kind | fcntl.LOCK_NB)
        return os.path.samestat(os.fstat(file), os.stat(path))
    except OSError:
        return False


def lock_of_the_dead(file: int, path: Path) -> bool:
    """Whether its process has ended. All that live may see so, and nobody goes on with the file meanwhile."""
    return lock(file, path, fcntl.LOCK_SH)


class JournalFile:
    """OSError from any method: what it was to write does not count, and may be tried again."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.spare = path.with_name(path.name + SPARE_SUFFIX)
        self.file = -1
        self.size = 0  # bytes it takes in the folder, at most
        self.torn = False  # its end is unknown
        self.renaming = False  # whether its name is still that of this file is unknown
        self.spare_left = False  # the spare file could not be removed

    @property
    def names(self) -> tuple[str, ...]:
        """Of its files, but for a spare file that is there to be removed."""
        has_spare = self.spare_left or self.renaming
        return (self.path.name,) if has_spare else (self.path.name, self.spare.name)

    def open(self) -> bool:
        """Whether it exists and no living process has it."""
        with suppress(FileNotFoundError):
            self.file = os.open(self.path, FLAGS)
            if lock(self.file, self.path):
                self._remove_spare()  # of a compaction that did not get to its rename
                return True
            self.close()
        return False

    def create(self) -> None:
        self._lock_spare()  # before it has its name: nobody may take it for a dead one's
        os.link(self.spare, self.path)
        self._remove_spare()

    def _lock_spare(self) -> None:
        for _ in range(CREATE_TRIES):
            self.file = os.open(self.spare, FLAGS | os.O_CREAT | os.O_TRUNC, 0o600)
            if lock(self.file, self.spare):
                return
            self.close()
        raise OSError(f"{self.spare} belongs to another process that starts just now")

    def read(self) -> Iterator[bytes]:
        """All whole lines. Its size is known once they are read."""
        reader = LineReader(self.file)
        yield from reader
        self.size, self.torn = reader.at + reader.rest_bytes, bool(reader.rest_bytes)
        if self.torn:
            log.warning("journal: a torn record of %d bytes at its end is passed over", reader.rest_bytes)

    def append(self, line: bytes) -> None:
        if self.renaming:
            self._settle_name()
        if self.spare_left:
            self._remove_spare()
        data = TORN + b"\n" + line if self.torn else line
        torn, self.torn = self.torn, True
        try:
            written = os.write(self.file, data)
        except OSError:
            self._measure(len(data))
            raise
        self.size += written
        if written < len(data):
            raise OSError("short write")
        self.torn = False
        if torn:
            log.info("journal: written again after a write that failed")

    def replace(self, lines: Sequence[bytes]) -> None:
        """Old and new lie side by side until the rename; a kill at any point leaves one of them whole."""
        new = os.open(self.spare, FLAGS | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            if not lock(new, self.spare):  # before the rename: nobody may take a file for a dead one's
                raise OSError("the new file cannot be locked")
            size = self._write_all(new, lines)
            self.renaming = True
            os.rename(self.spare, self.path)
        except OSError:
            os.close(new)
            if not self.renaming:
                self._remove_spare()
            raise
        os.close(self.file)
        self.file, self.size, self.torn, self.renaming = new, size, False, False

    @staticmethod
    def _write_all(file: int, lines: Sequence[bytes]) -> int:
        """How many bytes they have."""
        size, part = 0, bytearray()
        for number, line in enumerate(lines, 1):
            part += line
            if len(part) >= PART_BYTES or number == len(lines):
                if os.write(file, part) < len(part):
                    raise OSError("short write")
                size += len(part)
                part.clear()
        return size

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
        self.file = -1  # Guards whatever gets this descriptor next against a late record

    def _remove_spare(self) -> None:
        try:
            self.spare.unlink(missing_ok=True)
            self.spare_left = False
        except OSError:  # tried again before the next record; the next compaction writes it anew
            self.spare_left = True

    def _measure(self, more: int) -> None:
        try:
            self.size = os.fstat(self.file).st_size
        except OSError:
            self.size += more

    def _settle_name(self) -> None:
        """Goes on with the file that has the name: if the rename took effect, it has all that counted."""
        named = os.open(self.path, FLAGS)
        if os.path.samestat(os.fstat(named), os.fstat(self.file)):
            os.close(named)
        elif lock(named, self.path):
            os.close(self.file)
            self.file, self.torn = named, False
            self._measure(0)
        else:
            os.close(named)
            raise OSError("the journal's name belongs to another file")
        self.renaming = False
        self._remove_spare()
