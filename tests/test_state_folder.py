"""What the state folder holds: each file that a killed process can leave is counted, and removed."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from linnetstile.net.journal import Entry, Journal, JournalError
from linnetstile.net.journal_file import JournalFile
from linnetstile.soak.state_folder import folder_bytes

DISK = 3_000_000
BODY = bytes(60_000)
MESSAGES = 6  # more than a file that is left alone holds
CHANGES = ("open", "write", "link", "rename", "unlink")  # the system calls that change the folder


class Killed(BaseException):
    """The process ends before its next instruction."""


def entry(ident: str) -> Entry:
    return Entry(ident, "safe", "t", 7, None, 1000.0, 9e12, "", BODY)


def names(folder: Path) -> set[str]:
    return {path.name for path in folder.iterdir()}


class System:
    """Counts the calls that change the folder, and kills the process at one of them."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.calls = 0
        self.kill_at = (0, False)  # which call, and whether it takes effect
        self.open_files: dict[int, str] = {}  # descriptor -> the process that has it
        self.process = ""
        for name in CHANGES:
            patch.setattr(os, name, self._counted(getattr(os, name)))
        patch.setattr(os, "close", self._close(os.close))

    def _counted(self, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any, **more: Any) -> Any:
            self.calls += 1
            number, takes_effect = self.kill_at
            if self.calls == number and not takes_effect:
                raise Killed
            result = real(*args, **more)
            if real.__name__ == "open":
                self.open_files[result] = self.process
            if self.calls == number:
                raise Killed
            return result

        return call

    def _close(self, real: Callable[[int], None]) -> Callable[[int], None]:
        def close(file: int) -> None:
            self.open_files.pop(file, None)
            real(file)

        return close

    def end(self, *processes: str) -> None:
        """Closes what they have open, as the kernel does: their locks go with it."""
        for file in [file for file, process in self.open_files.items() if process in processes]:
            os.close(file)


class Play:
    """A process with a large file that another one replaces."""

    def __init__(self, folder: Path, system: System) -> None:
        self.folder, self.system = folder, system
        self.journals: dict[str, Journal] = {}
        self.accepted: list[str] = []

    def act(self, process: str) -> Journal:
        self.system.process = process
        if process not in self.journals:
            self.journals[process] = Journal(self.folder, DISK)
        return self.journals[process]

    def accept(self, journal: Journal, ident: str) -> None:
        with suppress(JournalError):
            journal.take(entry(ident))
            self.accepted.append(ident)

    def run(self) -> None:
        old = self.act("old")
        for number in range(MESSAGES):
            self.accept(old, f"m{number}")
        new = self.act("new")
        self.act("old").look()  # it has met the other, and compacts
        old.give(list(old.entries.values()))
        self.act("new").look()
        take_up(new)
        self.act("old").look()
        old.settle()
        self.act("new")._compact()
        self.act("old").close()
        self.act("new").look()
        new.settle()


def take_up(journal: Journal) -> None:
    for other in list(journal.others.values()):
        for each in journal.others.to_take_up(other):
            journal.taken_up(other, each)
    list(journal.taken_back())


def settled(journal: Journal) -> bool:
    journal.look()
    take_up(journal)
    return journal.settle()


def all_kills(folder: Path) -> Iterator[tuple[int, bool]]:
    with pytest.MonkeyPatch.context() as patch:
        system = System(patch)
        folder.mkdir()
        play = Play(folder, system)
        play.run()
        calls = system.calls
        system.end("old", "new")
    for number in range(1, calls + 1):
        yield number, False
        yield number, True


@pytest.mark.parametrize("all_die", [True, False], ids=["both processes die", "one process dies"])
def test_whatever_a_process_leaves_that_is_killed_at_any_change_is_counted_and_removed(
    tmp_path: Path, all_die: bool
) -> None:
    """Guards the folder's limit against spare files that nobody counts: review/10."""
    kills = list(all_kills(tmp_path / "dry"))
    assert len(kills) > 60
    for number, takes_effect in kills:
        folder = tmp_path / f"{number}-{takes_effect}"
        folder.mkdir()
        with pytest.MonkeyPatch.context() as patch:
            system = System(patch)
            play = Play(folder, system)
            system.kill_at = number, takes_effect
            with pytest.raises(Killed):
                play.run()
            dead = system.process
            system.end(*(("old", "new") if all_die else (dead,)))
            survivors = [
                name for name, each in play.journals.items() if not (all_die or name == dead or each.closed)
            ]
            last = play.act(survivors[0] if survivors else "next")
            last.look()
            assert last.folder_bytes == folder_bytes(folder) <= DISK, (number, takes_effect)
            assert any(settled(last) for _ in range(3)), (number, takes_effect)
            last.look()
            assert names(folder) == {last.path.name}, (number, takes_effect)
            assert last.folder_bytes == folder_bytes(folder)
            held = {ident for ident, each in last.entries.items() if not each.end and each.body == BODY}
            assert held >= set(play.accepted)
            system.end("old", "new", "next")


def test_a_spare_file_of_a_journal_that_is_gone_is_removed_and_one_in_use_is_not(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    for name in ("journal-7.new", "journal-8.new"):
        (tmp_path / name).write_bytes(bytes(700))
    starting = JournalFile(tmp_path / "journal-8")
    starting._lock_spare()  # of a process that begins just now
    journal.look()
    assert names(tmp_path) == {"journal", "journal-8.new"} and journal.folder.removed_spares == 1
    starting.close()
    journal.look()
    assert names(tmp_path) == {"journal"}


def test_a_process_begins_though_another_looks_whether_its_spare_file_was_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    running = Journal(tmp_path, DISK)
    real, looks = os.open, 0

    def looked_at(path: Path, *args: Any, **more: Any) -> int:
        """The other process looks at the file before it is locked."""
        nonlocal looks
        file = real(path, *args, **more)
        if str(path).endswith("journal-1.new") and not looks:
            looks += 1
            running.look()
        return file

    monkeypatch.setattr(os, "open", looked_at)
    begun = Journal(tmp_path, DISK)
    assert running.folder.removed_spares == 1 and begun.path.name == "journal-1"
    running.look()
    assert [other.number for other in running.living] == [1]


def test_what_cannot_be_removed_is_counted_and_removed_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(*_: object, **__: object) -> None:
        raise OSError(errno.EIO, "no")

    journal = Journal(tmp_path, DISK)
    journal.take(entry("m"))
    (tmp_path / "journal-7.new").write_bytes(bytes(700_000))
    with monkeypatch.context() as patch:
        patch.setattr(os, "unlink", refuse)
        patch.setattr(os, "rename", refuse)
        journal.look()
        assert journal.budget.room_bytes <= DISK - 700_000
        journal._compact()  # its own spare file stays as well
        journal.look()
        assert journal.folder_bytes == folder_bytes(tmp_path)
        assert names(tmp_path) == {"journal", "journal.new", "journal-7.new"}
    journal.says_role("serve")
    journal.look()
    assert names(tmp_path) == {"journal"} and journal.folder_bytes == folder_bytes(tmp_path)


def test_a_file_of_nobody_is_counted_and_left_alone(tmp_path: Path) -> None:
    (tmp_path / "notes").write_bytes(bytes(1_000_000))
    journal = Journal(tmp_path, DISK)
    journal.look()
    assert journal.budget.room_bytes <= DISK - 1_000_000
    assert journal.folder_bytes == folder_bytes(tmp_path) and (tmp_path / "notes").exists()
