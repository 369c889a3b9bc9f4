"""The journal on a folder that fails at any step, and read by a process of another boot."""

from __future__ import annotations

import errno
import json
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.net import clock
from linnetstile.net.journal import Entry, Journal, JournalError, decode, encode
from linnetstile.net.journal_file import JournalFile

DISK = 400_000
HOUR_MS = 3.6e6


def entry(ident: str, since: float = 1000.0, due: float = 9e12) -> Entry:
    return Entry(ident, "keyed", "t", 7, "key", since, due, "", b"body")


def failing(*_: Any, **__: Any) -> Any:
    raise OSError(errno.EIO, "fault")


def torn(real: Any, keep: float) -> Any:
    def write(file: int, data: bytes) -> int:
        real(file, data[: int(len(data) * keep)])
        raise OSError(errno.ENOSPC, "fault")

    return write


@contextmanager
def fault(name: str, call: Any = failing) -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, name, call)
        yield


def reopened(journal: Journal, folder: Path) -> Journal:
    journal.close()
    return Journal(folder, DISK)


@pytest.mark.parametrize("keep", [0.0, 0.1, 0.5, 0.99, 1.0])
def test_what_the_folder_refused_is_written_in_order_before_anything_new(tmp_path: Path, keep: float) -> None:
    journal = Journal(tmp_path, DISK)
    for ident in ("a", "b"):
        journal.take(entry(ident))
    with fault("write", torn(os.write, keep)):
        with pytest.raises(JournalError):
            journal.ended(journal.entries["a"], "failed")
        with pytest.raises(JournalError):
            journal.told(["a"])
        with pytest.raises(JournalError):
            journal.take(entry("refused"))
        with pytest.raises(JournalError):
            journal.tried(journal.entries["b"], 5.0, "s-1", 0)
    assert journal.entries["b"].tries == 0 and "refused" not in journal.entries
    journal.take(entry("c"))
    assert not journal.waiting
    again = reopened(journal, tmp_path)
    assert set(again.entries) == {"a", "b", "c"}
    assert again.entries["a"].end == "failed" and again.entries["a"].told
    assert again.entries["b"].tries == 0 and again.entries["b"].risk is None
    again.close()


@pytest.mark.parametrize("keep", [0.5, 1.0])
def test_a_kill_behind_a_write_that_failed_loses_no_other_record(tmp_path: Path, keep: float) -> None:
    journal = Journal(tmp_path, DISK)
    journal.take(entry("a"))
    with fault("write", torn(os.write, keep)), pytest.raises(JournalError):
        journal.ended(journal.entries["a"], "failed")
    os.close(journal.file)  # as the kernel does at a kill
    again = Journal(tmp_path, DISK)
    again.take(entry("b"))
    assert set(reopened(again, tmp_path).entries) == {"a", "b"}


def test_a_refused_message_whose_record_was_written_after_all_is_not_taken_up(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    with fault("write", torn(os.write, 1.0)), pytest.raises(JournalError):
        journal.take(entry("refused"))
    assert journal.flush()
    assert not reopened(journal, tmp_path).entries


@pytest.mark.parametrize("step", ["open", "rename", "write", "unlink", "stat", "fstat"])
def test_a_compaction_that_fails_at_any_step_leaves_all_records(tmp_path: Path, step: str) -> None:
    journal = Journal(tmp_path, DISK)
    journal.take(entry("a"))
    with fault(step):
        journal._compact()
    journal.take(entry("b"))
    journal.ended(journal.entries["a"], "failed")
    again = reopened(journal, tmp_path)
    assert set(again.entries) == {"a", "b"} and again.entries["a"].end == "failed"


def test_a_rename_that_took_effect_though_it_failed_is_noticed(tmp_path: Path) -> None:
    journal, rename = Journal(tmp_path, DISK), os.rename
    journal.take(entry("a"))

    def renamed(*names: Any) -> None:
        rename(*names)
        failing()

    with fault("rename", renamed):
        journal._compact()
    journal.ended(journal.entries["a"], "failed")
    journal.take(entry("b"))
    again = reopened(journal, tmp_path)
    assert set(again.entries) == {"a", "b"} and again.entries["a"].end == "failed"


@pytest.mark.parametrize("step", ["scandir", "open", "pread", "link"])
def test_a_start_on_a_failing_folder_keeps_no_descriptor(tmp_path: Path, step: str) -> None:
    if step != "link":
        reopened(Journal(tmp_path, DISK), tmp_path).close()
    before = set(os.listdir("/proc/self/fd"))
    with fault(step), pytest.raises(OSError):
        Journal(tmp_path, DISK)
    assert set(os.listdir("/proc/self/fd")) == before
    Journal(tmp_path, DISK).close()


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["take", "try", "out", "end", "told", "compact"]),
            st.integers(0, 2),
            st.sampled_from([None, 0.0, 0.3, 1.0]),
        ),
        max_size=30,
    )
)
def test_after_any_failed_writes_the_file_comes_to_say_what_memory_does(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, int, float | None]]
) -> None:
    folder = tmp_path_factory.mktemp("state")
    journal, promised = Journal(folder, DISK), set()
    for step, number, keep in steps:
        ident = f"m{number}"
        held = journal.entries.get(ident)
        with fault("write", os.write if keep is None else torn(os.write, keep)):
            try:
                if step == "take" and held is None and ident not in promised:
                    journal.take(entry(ident))
                    promised.add(ident)
                elif step == "compact":
                    journal._compact()
                elif held is not None and not held.end and step == "try":
                    journal.tried(held, 1500.0, "s-1", 1)
                elif held is not None and step == "out":
                    journal.outcome(held, False)
                elif held is not None and step == "end":
                    journal.ended(held, "failed")
                elif held is not None and held.end and step == "told":
                    journal.told([ident])
            except JournalError:
                assert keep is not None or journal.closed
    assert journal.flush()
    memory = journal.entries
    again = reopened(journal, folder)
    assert set(again.entries) == promised
    for ident, one in again.entries.items():
        assert (one.end, one.told, one.after_ms) == (memory[ident].end, memory[ident].told, 0.0)
        assert one.tries >= memory[ident].tries  # a try whose write failed may count
    again.close()


# -- clocks ------------------------------------------------------------------------------------------


def test_another_boot_calls_no_message_dead_and_no_key_window_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "now_ms", lambda: 50_000_000.0)
    journal = Journal(tmp_path, DISK)
    journal.take(entry("waits", 49_999_000.0, 50_008_000.0))
    journal.take(entry("tried", 49_999_000.0, 50_008_000.0))
    journal.tried(journal.entries["tried"], 49_999_900.0, "s-1", 0)
    journal.close()
    monkeypatch.setattr(clock, "boot_id", lambda: "another")
    monkeypatch.setattr(clock, "now_ms", lambda: 7000.0)
    journal = Journal(tmp_path, DISK)
    assert journal.entries["waits"].due - clock.now_ms() == 8000.0
    risk = journal.entries["tried"].risk
    assert risk is not None and clock.now_ms() - risk.at > HOUR_MS
    journal.ended(journal.entries["tried"], "failed")
    journal.close()
    again = Journal(tmp_path, DISK)
    assert again.entries["waits"].due == 15_000.0 and again.entries["tried"].end == "failed"
    again.close()


def test_a_journal_of_an_earlier_version_keeps_its_spans(tmp_path: Path) -> None:
    unix = clock.wall_ms()
    old = [
        {
            "k": "take",
            "id": "m",
            "class": "keyed",
            "tenant": "t",
            "dest": 7,
            "key": "key",
            "since": unix - 1000,
            "due": unix + 7000,
            "again": "",
            "tries": 0,
            "out": None,
            "risk": None,
            "end": "",
            "after": 0.0,
            "told": False,
            "given": False,
            "body": "",
        },
        {"k": "try", "id": "m", "at": unix - 500, "ep": "s-1", "zone": 0},
    ]
    (tmp_path / "journal").write_bytes(b"".join(encode(record) for record in old))
    for _ in range(2):
        journal = Journal(tmp_path, DISK)
        found = journal.entries["m"]
        assert found.due - clock.now_ms() == pytest.approx(7000, abs=300)
        assert found.risk is not None and clock.now_ms() - found.risk.at == pytest.approx(500, abs=300)
        journal.close()


def test_each_record_says_its_place_its_time_and_its_boot(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    for ident in ("a", "b"):
        journal.take(entry(ident))
    journal.close()
    records = [decode(line) for line in (tmp_path / "journal").read_bytes().splitlines()]
    assert [record["n"] for record in records] == [1, 2]
    assert {record["b"] for record in records} == {clock.boot_id()}
    assert json.dumps([record["t"] for record in records]) == json.dumps(sorted(r["t"] for r in records))


def test_no_module_but_the_clock_asks_the_wall_clock() -> None:
    package = Path(clock.__file__).parents[1]
    walls = ("time.time(", "time_ns(", "datetime", "CLOCK_REALTIME", "utcnow", "wall_ms(")
    allowed = {"net/clock.py": 2, "net/book.py": 1, "net/process.py": 1}  # definition, old journals, the log
    found = {
        str(path.relative_to(package)): sum(path.read_text().count(wall) for wall in walls)
        for path in package.rglob("*.py")
    }
    assert {name: count for name, count in found.items() if count} == allowed


def test_the_files_name_is_asked_for_before_anything_follows_a_failed_rename(tmp_path: Path) -> None:
    file = JournalFile(tmp_path / "journal")
    file.create()
    with fault("rename"), pytest.raises(OSError):
        file.replace([b"new\n"])
    with fault("open"), pytest.raises(OSError):
        file.append(b"unknown\n")
    file.append(b"kept\n")
    assert file.path.read_bytes() == b"kept\n"
    file.close()


def test_a_record_that_waits_does_not_keep_the_others_of_its_kind_from_memory(tmp_path: Path) -> None:
    """Ends that were told, and messages that were given away, are many at once: the first record that the
    folder refuses must not leave the others untold, or with neither process."""
    journal = Journal(tmp_path, DISK)
    idents = [f"m{number}" for number in range(150)]  # more than one record names
    for ident in idents:
        journal.take(entry(ident))
    for ident in idents[:2]:
        journal.ended(journal.entries[ident], "failed")
    with fault("write"):
        with pytest.raises(JournalError):
            journal.told(idents[:2])
        with pytest.raises(JournalError):
            journal.give([journal.entries[ident] for ident in idents[2:]])
    for known in (journal.entries, reopened(journal, tmp_path).entries):
        assert [ident for ident in idents if not known[ident].told and not known[ident].given] == []


def test_what_is_taken_back_is_held_or_still_given_away_wherever_the_folder_fails(tmp_path: Path) -> None:
    journal, found = Journal(tmp_path, DISK), list[str]()
    for ident in ("a", "b"):
        journal.take(entry(ident))
    journal.give(list(journal.entries.values()))
    writes: list[Callable[..., int]] = [os.write, failing]
    with fault("write", lambda file, data: writes.pop(0)(file, data)), pytest.raises(JournalError):
        for each in journal.taken_back():
            found.append(each.id)
    assert found == ["a"]
    assert not journal.entries["a"].given and journal.entries["b"].given
    journal.close()
