"""The files of the state folder: each process's journal, its spare file, and whatever else is there.

A spare file (`journal.new`, `journal-3.new`) exists while a process begins its journal or compacts it. A
process that is killed meanwhile leaves it behind. All files count towards the folder's limit, and any process
removes the spare files that no living process uses.
"""

from __future__ import annotations

import logging
import os
import re
from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

from ..disk_budget import in_blocks
from .journal_file import SPARE_SUFFIX, lock
from .log_limit import LimitedLog

log = logging.getLogger(__name__)
failures = LimitedLog(log)

NAME = re.compile(rf"journal(?:-(\d{{1,9}}))?({re.escape(SPARE_SUFFIX)})?")


def journal_name(number: int) -> str:
    """The file name of the journal of that number."""
    return f"journal-{number}" if number else "journal"


@dataclass(frozen=True, slots=True)
class FolderContents:
    """What one look at the folder has found. Paths are by the number of the journal that they belong to."""

    journals: dict[int, Path]
    spares: dict[int, Path]
    bytes_by_name: dict[str, int]  # of all files, in whole blocks

    def bytes_besides(self, names: Collection[str]) -> int:
        """What the files of other names take."""
        return sum(size for name, size in self.bytes_by_name.items() if name not in names)


class StateFolder:
    """The folder that outlives a process, shared with the relay's other processes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.removed_spares = 0

    def contents(self) -> FolderContents:
        """OSError as of scandir(3) and stat(2); a file that goes meanwhile is passed over."""
        found = FolderContents({}, {}, {})
        with os.scandir(self.path) as entries:
            for entry in entries:
                try:
                    found.bytes_by_name[entry.name] = in_blocks(entry.stat().st_size)
                except FileNotFoundError:
                    continue
                match = NAME.fullmatch(entry.name)
                if match is not None:
                    paths = found.spares if match[2] else found.journals
                    paths[int(match[1] or 0)] = self.path / entry.name
        return found

    def remove_leftover_spares(
        self, spares: dict[int, Path], living: Collection[int], dead: Collection[int]
    ) -> bool:
        """Whether any was removed. `living` and `dead`: the numbers of the journals whose process lives, and
        of those whose process has ended. One that cannot be removed is tried again with the next call."""
        removed = False
        for number, path in spares.items():
            if number in living:
                continue  # its process writes it, or removes it itself
            try:
                gone = self._remove(path) if number in dead else self._remove_unlocked(path)
            except OSError as error:
                failures.info(
                    "spare", "%s, left by a killed process, cannot be removed: %s", path.name, error
                )
                continue
            removed |= gone
        return removed

    def _remove(self, path: Path) -> bool:
        path.unlink(missing_ok=True)
        self.removed_spares += 1
        log.info("%s, left by a killed process, was removed", path.name)
        return True

    def _remove_unlocked(self, path: Path) -> bool:
        """A spare file without a journal: of a process that begins just now, which has locked it, or left."""
        try:
            file = os.open(path, os.O_RDWR)
        except FileNotFoundError:
            return False
        try:
            return lock(file, path) and self._remove(path)
        finally:
            os.close(file)
