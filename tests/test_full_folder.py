"""A full state folder: nothing that is owed or remembered is lost, and no work on it holds up the loop."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import pytest

from linnetstile.disk_budget import DiskBudget, FileSizes
from linnetstile.net import clock
from linnetstile.net.records import WITHDRAWN
from linnetstile.net.journal import Attempt, Entry, Journal, JournalError, JournalFull, encode, snapshot
from linnetstile.soak.state_folder import folder_bytes

DISK = 3_000_000
BODY = bytes(60_000)
DEADLINE_MS = 16_000.0
SWEEP_MS = 1000.0


@pytest.fixture
def now(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """The clock's milliseconds, which the test moves on."""
    given = [1_000_000.0]
    monkeypatch.setattr("linnetstile.net.clock.now_ms", lambda: given[0])
    return given


def entry(ident: str, now: list[float], body: bytes = BODY, class_: str = "once") -> Entry:
    return Entry(ident, class_, "t", 7, None, now[0], now[0] + DEADLINE_MS, "", body)


def fill(journal: Journal, now: list[float], name: str = "m") -> list[str]:
    """Messages until one is refused."""
    idents = list[str]()
    while True:
        ident = f"{name}{len(idents)}"
        try:
            journal.take(entry(ident, now))
        except JournalFull:
            return idents
        idents.append(ident)


def kill(journal: Journal) -> None:
    """As the kernel leaves its files."""
    journal.journal_file.close()
    for other in journal.others.values():
        os.close(other.file)


def take_up_all(journal: Journal) -> dict[str, Entry]:
    """What a process that starts or goes on holds from now on, as `Host` and `Replacement` ask for it."""
    for _ in range(2):  # the first may find that a file was compacted
        journal.look()
    mine = {each.id: each for each in journal.entries.values() if not each.given and not each.end}
    first = all(other.number > journal.number for other in journal.living)
    for other in [each for each in journal.others.values() if first or not each.dead]:
        ends = journal.ends_taken_up(other)
        taken = [journal.taken_up(other, each) for each in journal.others.to_take_up(other)]
        mine.update({each.id: each for each in [*ends, *taken] if each is not None and not each.end})
    mine.update({each.id: each for each in journal.taken_back()})
    journal.settle()
    return mine


def hand_over(folder: Path, now: list[float]) -> tuple[Journal, Journal, list[str]]:
    """A process with a full folder has given all to a second one, which holds it; and the messages' ids."""
    old = Journal(folder, DISK)
    idents = fill(old, now)
    new = Journal(folder, DISK)
    old.look()
    old.give(list(old.entries.values()))
    take_up_all(new)
    return old, new, idents


def end(journal: Journal, ident: str, now: list[float]) -> None:
    journal.tried(journal.entries[ident], now[0], "s-1", 0)
    journal.ended(journal.entries[ident], "delivered")


# -- what has ended ----------------------------------------------------------------------------------------


def test_a_refusal_for_room_forgets_no_message_whose_time_is_not_over(
    tmp_path: Path, now: list[float]
) -> None:
    """Guards against a second run of a message that comes again while the folder is full."""
    journal = Journal(tmp_path, DISK)
    journal.take(entry("a", now, b"x"))
    end(journal, "a", now)
    fill(journal, now)
    assert journal.knows("a") and journal.entries["a"].end == "delivered"
    kill(journal)
    assert Journal(tmp_path, DISK).entries["a"].end == "delivered"


def test_what_a_second_process_delivered_stays_delivered_though_a_dead_file_says_it_is_owed(
    tmp_path: Path, now: list[float]
) -> None:
    """Guards against a second run after a replacement on a full folder and a kill."""
    old, new, idents = hand_over(tmp_path, now)
    old.close()
    for ident in idents[:3]:
        end(new, ident, now)
    fill(new, now, "later")
    new._compact()
    kill(new)
    after = take_up_all(Journal(tmp_path, DISK))
    assert set(idents) - set(after) == set(idents[:3])


def test_an_end_is_kept_past_its_time_while_a_dead_file_says_it_is_owed(
    tmp_path: Path, now: list[float]
) -> None:
    old, new, idents = hand_over(tmp_path, now)
    kill(old)
    end(new, idents[0], now)
    now[0] += 2 * DEADLINE_MS  # the others are late: their file is still there
    new.tidy(now[0])
    new._compact()
    kill(new)
    assert idents[0] not in take_up_all(Journal(tmp_path, DISK))


def test_what_was_withdrawn_stays_so_though_a_dead_file_says_it_is_owed(
    tmp_path: Path, now: list[float]
) -> None:
    """Guards against a second message for one that its client has taken back and handed in anew."""
    old = Journal(tmp_path, DISK)
    idents = fill(old, now)
    kill(old)
    (tmp_path / "journal-1").touch()
    new = Journal(tmp_path, DISK)
    assert set(take_up_all(new)) == set(idents)
    new.withdrawn(idents[-1])
    new._compact()
    kill(new)
    assert set(take_up_all(Journal(tmp_path, DISK))) == set(idents[:-1])


def test_what_was_withdrawn_stays_so_though_its_dead_taker_had_not_read_that(
    tmp_path: Path, now: list[float]
) -> None:
    """Guards against a second run, or one without a body, of what a client has taken back."""
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    old.take(entry("a", now))
    old.give([old.entries["a"]])
    assert set(take_up_all(new)) == {"a"}
    new.tried(new.entries["a"], now[0], "s-1", 0)
    old.withdrawn("a")
    kill(new)
    assert not take_up_all(old)
    assert old.entries["a"].end == WITHDRAWN and old.entries["a"].risk is not None
    kill(old)
    assert not take_up_all(Journal(tmp_path, DISK))


def test_ends_that_a_dead_process_left_are_on_file_before_its_file_is_removed(
    tmp_path: Path, now: list[float]
) -> None:
    """Guards against a second run of what comes again after a replacement and a kill."""
    old = Journal(tmp_path, DISK)
    for number in range(250):
        old.take(entry(f"m{number}", now, b"x"))
        end(old, f"m{number}", now)
    new = Journal(tmp_path, DISK)
    kill(old)
    take_up_all(new)
    assert [path.name for path in tmp_path.iterdir()] == ["journal-1"]
    kill(new)
    after = Journal(tmp_path, DISK)
    assert all(after.entries[f"m{number}"].end == "delivered" for number in range(250))


def test_the_folder_holds_ten_thousand_ends_beside_what_is_owed(tmp_path: Path, now: list[float]) -> None:
    """600 messages a second, each remembered for 16 s: none is refused for what has ended."""
    journal = Journal(tmp_path, DISK)
    for number in range(9600):
        journal.take(entry(f"{number:016x}", now, b"xx"))
        end(journal, f"{number:016x}", now)
        assert journal.size <= DISK
    kill(journal)
    assert len(Journal(tmp_path, DISK).entries) == 9600


def test_an_id_that_needs_escapes_takes_what_is_reckoned_for_it(tmp_path: Path, now: list[float]) -> None:
    journal = Journal(tmp_path, DISK)
    for number in range(100):
        ident = f"{number}{chr(34) * 190}"
        journal.take(entry(ident, now, b"x"))
        end(journal, ident, now)
    journal._compact()
    assert journal.size <= journal.live


# -- what is owed ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("killed", [False, True])
def test_a_replacement_on_a_full_folder_holds_every_message(
    tmp_path: Path, now: list[float], killed: bool
) -> None:
    """Guards against messages that nobody holds after a replacement: their ends came five seconds late."""
    old = Journal(tmp_path, DISK)
    idents = fill(old, now)
    assert len(idents) >= 18
    new = Journal(tmp_path, DISK)
    old.look()
    if not killed:
        old.give(list(old.entries.values()))
    else:
        kill(old)
    held = take_up_all(new)
    assert set(held) == set(idents) and all(each.body == BODY for each in held.values())
    if not killed:
        old.look()
        old.settle()
        old.close()
    for number, ident in enumerate(idents):
        assert folder_bytes(tmp_path) <= DISK
        if number % 5 == 2:  # and so does each process after further kills
            kill(new)
            new = Journal(tmp_path, DISK)
            held = take_up_all(new)
            assert set(held) == set(idents[number:]) and all(each.body == BODY for each in held.values())
        end(new, ident, now)
        new.look()
        new.settle()
    assert [path.name for path in tmp_path.iterdir()] == ["journal-1"]


@pytest.mark.parametrize("killed", [False, True])
def test_three_processes_hold_each_message_once_whichever_file_has_its_body(
    tmp_path: Path, now: list[float], killed: bool
) -> None:
    """Guards against messages that nobody or two hold while a dead process's file has their bodies."""
    first = Journal(tmp_path, DISK)
    idents = fill(first, now)
    second = Journal(tmp_path, DISK)
    first.look()
    if not killed:
        first.give(list(first.entries.values()))
        assert set(take_up_all(second)) == set(idents)
    kill(first)
    assert set(take_up_all(second)) == set(idents)
    third = Journal(tmp_path, DISK)
    assert not take_up_all(third)  # the second process lives and holds them
    assert [other.number for other in third.living] == [1]
    second.look()
    second.give([second.entries[ident] for ident in idents])
    held = take_up_all(third)
    assert set(held) == set(idents) and all(each.body == BODY for each in held.values())
    assert not take_up_all(second)
    kill(second)
    for ident in idents:
        end(third, ident, now)
    for _ in range(2):  # the second process's file had borrowed from the first one's
        take_up_all(third)
    assert [path.name for path in tmp_path.iterdir()] == ["journal-2"]


def test_a_body_is_on_file_at_each_step_of_a_hand_over(tmp_path: Path, now: list[float]) -> None:
    """Guards against a kill of both behind the old process's compaction: its taker had only borrowed."""
    old, new, idents = hand_over(tmp_path, now)
    old.look()
    old.settle()
    old.tidy(now[0])
    kill(old)
    kill(new)
    held = take_up_all(Journal(tmp_path, DISK))
    assert set(held) == set(idents) and all(each.body == BODY for each in held.values())


def test_the_old_process_goes_on_with_what_its_dead_taker_had_not_copied(
    tmp_path: Path, now: list[float]
) -> None:
    old, new, idents = hand_over(tmp_path, now)
    new.tried(new.entries[idents[-1]], now[0], "s-1", 0)
    kill(new)
    held = take_up_all(old)
    assert set(held) == set(idents) and all(each.body == BODY for each in held.values())
    assert held[idents[-1]].risk == Attempt(round(now[0]), "s-1", 0)
    old._compact()
    kill(old)
    again = take_up_all(Journal(tmp_path, DISK))
    assert set(again) == set(idents) and all(each.body == BODY for each in again.values())


def test_what_is_taken_up_is_held_though_the_folder_takes_no_record(
    tmp_path: Path, now: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against messages that nobody holds while the folder fails; their file stays until it heals."""
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    old.take(entry("a", now))
    kill(old)
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", refuse)
        new.look()
        (other,) = new.others.values()
        held = new.taken_up(other, other.left()[0])
        assert held is not None and held.body == BODY
        with pytest.raises(JournalError, match="takes no records"):
            new.settle()
        assert new.others and (tmp_path / "journal").exists()
    assert new.settle() and not (tmp_path / "journal").exists()
    kill(new)
    assert Journal(tmp_path, DISK).entries["a"].body == BODY


def test_a_message_whose_body_is_lost_ends_and_is_never_sent_without_it(
    tmp_path: Path, now: list[float]
) -> None:
    old = Journal(tmp_path, DISK)
    fill(old, now)
    new = Journal(tmp_path, DISK)
    kill(old)
    take_up_all(new)
    lost = {each.id for each in new.entries.values() if each.borrowed}
    kill(new)
    (tmp_path / "journal").unlink()
    after = Journal(tmp_path, DISK)
    assert lost and {each.id for each in after.entries.values() if each.owes_notice} == lost


def refuse(*_: Any) -> int:
    raise OSError(errno.ENOSPC, "no space")


# -- the work for a record ---------------------------------------------------------------------------------


@pytest.mark.parametrize("size_at_kill", range(1_860_000, 2_160_001, 60_000))
def test_a_start_on_a_large_file_does_not_compact_again_and_again(
    tmp_path: Path, now: list[float], caplog: pytest.LogCaptureFixture, size_at_kill: int
) -> None:
    """Guards against a loop that stands still after kills in series: each record tried a compaction that
    could not fit beside a file with much that was over."""
    write_file(tmp_path / "journal", size_at_kill, now)
    journal, sweep_at = Journal(tmp_path, DISK), now[0] + SWEEP_MS
    for number in range(700):  # five seconds
        sweep_at = deliver_one(journal, now, number, sweep_at)
        assert not journal.waiting
    assert "no room to compact" not in caplog.text and folder_bytes(tmp_path) <= DISK


def write_file(path: Path, size: int, now: list[float]) -> None:
    """What a process left that never compacted it: 140 messages a second, each delivered at once."""
    lines, written = list[bytes](), 0
    while written < size:
        now[0] += 1000 / 140
        ident = f"old-{len(lines):012x}"
        tried = {"k": "try", "id": ident, "at": round(now[0]), "ep": "s-5be2a07c", "zone": 1}
        ended = {"k": "end", "id": ident, "state": "delivered", "after": 0.0}
        for record in (snapshot(entry(ident, now, b"xx")), tried, ended):
            stamp = {"n": len(lines) + 1, "t": int(now[0]), "b": clock.boot_id()}
            lines.append(encode({**record, **stamp}))
            written += len(lines[-1])
    path.write_bytes(b"".join(lines))


def deliver_one(journal: Journal, now: list[float], number: int, sweep_at: float) -> float:
    """One of 140 messages a second; when the next sweep is due."""
    now[0] += 1000 / 140
    if now[0] >= sweep_at:
        journal.tidy(now[0])
        sweep_at = now[0] + SWEEP_MS
    journal.take(entry(f"{number:016x}", now, b"xx"))
    end(journal, f"{number:016x}", now)
    return sweep_at


@pytest.mark.parametrize("call", ["rename", "open"])
def test_a_compaction_that_failed_is_not_tried_again_for_each_record(
    tmp_path: Path, now: list[float], monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    journal = Journal(tmp_path, DISK)
    fill(journal, now)
    monkeypatch.setattr(os, call, refuse)
    tried = journal.entries["m0"]
    before = journal.budget.failed_compactions
    for _ in range(600):  # past the size at which it would be compacted
        journal.tried(tried, now[0], "s-1", 0)
        journal.outcome(tried, False)
    assert journal.budget.failed_compactions == before + 1
    journal.tidy(now[0])
    journal.outcome(tried, False)
    assert journal.budget.failed_compactions <= before + 3  # once a sweep, and once behind it


def test_a_compaction_that_did_not_fit_is_tried_again_once_enough_is_gone() -> None:
    budget = DiskBudget(DISK)
    budget.compaction_failed(FileSizes(2_000_000, 1_100_000), 100_000)
    assert not budget.compaction_may_succeed(FileSizes(2_000_000, 1_050_000))
    assert budget.compaction_may_succeed(FileSizes(2_000_000, 1_000_000))
    budget.room_bytes -= 50_000  # another process has taken it
    assert not budget.compaction_may_succeed(FileSizes(2_000_000, 1_000_000))


def test_a_record_of_a_message_that_is_not_known_keeps_no_other_from_being_written(
    tmp_path: Path, now: list[float]
) -> None:
    """Guards against a slot that is lost for good: an outcome met a forgotten message, and raised."""
    journal = Journal(tmp_path, DISK)
    journal.take(entry("a", now, b"x"))
    journal.outcome(entry("unknown", now), False)
    journal.give([entry("unknown", now), journal.entries["a"]])
    assert journal.unknown_records == 1 and journal.entries["a"].given
    kill(journal)
    assert Journal(tmp_path, DISK).entries["a"].given


def test_a_withdrawn_message_is_known_until_its_call_has_ended(tmp_path: Path, now: list[float]) -> None:
    journal = Journal(tmp_path, DISK)
    journal.take(entry("a", now, b"x"))
    journal.tried(journal.entries["a"], now[0], "s-1", 0)
    journal.withdrawn("a")
    now[0] += DEADLINE_MS + SWEEP_MS
    journal.tidy(now[0])
    fill(journal, now)
    assert journal.knows("a")
    journal.outcome(journal.entries["a"], True)
    journal.tidy(now[0])
    assert not journal.knows("a")
