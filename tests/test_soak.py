"""The soak: a short one of real processes breaks no rule, and its judge sees what breaks one."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from linnetstile.soak.endpoint import messages_of
from linnetstile.soak.judge import Judge
from linnetstile.soak.ledger import Attempt, HandIn, Ledger, Restart, Told, Wait
from linnetstile.soak.run import Plan, play
from linnetstile.soak.stand_in import Connection, Request
from linnetstile.soak.state_folder import breaches_of_an_end, breaches_of_size

DUE = 110.0
DISK_BYTES = 3_000_000


def ledger(class_: str = "safe") -> Ledger:
    """One message that relay 0 accepted at 100 s, delivered by one call."""
    made = Ledger()
    made.hand_ins["m"] = HandIn("m", 0, class_, 3, DUE, 10.0, heard_at=100.0)
    made.attempts["m"] = [Attempt("s-1", 101.0, 101.0, ran=True, over_at=101.1)]
    made.delivered["m"] = 101.1
    return made


def no_end(made: Ledger) -> None:
    made.delivered.clear()


def late_end(made: Ledger) -> None:
    made.delivered["m"] = DUE + 0.5


def late_after_a_restart(made: Ledger) -> None:
    made.delivered["m"] = DUE + 3.7
    made.restarts[0] = [Restart(DUE - 1.0, DUE - 1.0, ready_at=DUE + 2.0)]


def forwarded_after_its_notice(made: Ledger) -> None:
    made.delivered.clear()
    made.told["m"] = Told(100.5, "returned")


def delivered_and_forwarded(made: Ledger) -> None:
    made.attempts["m"].append(Attempt("s-1", 102.0, 102.0, ran=True, over_at=102.1))


def told_as_failed(made: Ledger) -> None:
    made.told["m"] = Told(103.0, "failed")


def ran_past_its_window(made: Ledger) -> None:
    made.hand_ins["m"].class_ = "keyed"
    made.delivered.clear()
    made.told["m"] = Told(107.0, "returned")
    made.attempts["m"].append(Attempt("s-1", 106.0, 106.0, ran=True, over_at=106.1))


def ran_twice(made: Ledger) -> None:
    made.hand_ins["m"].class_ = "unsafe"
    made.delivered["m"] = 102.1
    made.attempts["m"].append(Attempt("s-1", 102.0, 102.0, ran=True, over_at=102.1))


def out_twice(made: Ledger) -> None:
    made.delivered["m"] = 102.1
    made.attempts["m"][0].over_at = 104.0
    made.attempts["m"].append(Attempt("s-1", 102.0, 102.0, over_at=102.1))


def sent_after_a_drain(made: Ledger) -> None:
    made.drained[0, "s-1"] = 100.5


def sent_during_a_wait(made: Ledger) -> None:
    made.waits.append(Wait(0, 3, 100.2, 101.5))


def given_up_by_a_restart(made: Ledger) -> None:
    made.restarts[0] = [Restart(100.2, 100.2, ready_at=101.0)]
    made.delivered.clear()
    made.attempts.clear()
    for number in range(10):
        made.hand_ins[f"m{number}"] = HandIn(f"m{number}", 0, "safe", 3, DUE, 10.0, heard_at=100.0)
        made.told[f"m{number}"] = Told(101.2, "returned")
    made.told["m"] = Told(101.2, "returned")


@pytest.mark.parametrize(
    ("rule", "fault"),
    [
        ("lost", no_end),
        ("lost", late_end),
        ("lost", late_after_a_restart),
        ("lost", forwarded_after_its_notice),
        ("lost", told_as_failed),
        ("duplicate", delivered_and_forwarded),
        ("duplicate", ran_past_its_window),
        ("duplicate", ran_twice),
        ("duplicate", out_twice),
        ("drain", sent_after_a_drain),
        ("wait", sent_during_a_wait),
        ("untried", given_up_by_a_restart),
    ],
)
def test_the_judge_sees_what_breaks_a_rule(rule: str, fault: object) -> None:
    assert callable(fault)
    made = ledger()
    judge = Judge(made, {"keyed": 4.0}, "unsafe")
    assert judge.breaches() == []
    fault(made)
    assert [each.rule for each in judge.breaches()] == [rule]


def test_the_judge_allows_what_the_protocol_page_allows() -> None:
    made = ledger()
    made.delivered["m"] = DUE + 3.3  # within 1.5 s after the relay is ready again
    made.restarts[0] = [Restart(DUE - 1.0, DUE - 1.0, ready_at=DUE + 2.0)]
    made.drained[0, "s-1"] = 100.9
    made.waits.append(Wait(0, 3, 100.95, 103.0))
    assert Judge(made, {}, "unsafe").breaches() == []


def test_a_delivery_that_the_folder_refused_before_a_kill_may_be_unknown_afterwards() -> None:
    made = ledger("unsafe")
    told_as_failed(made)
    made.restarts[0] = [Restart(101.5, 101.5, ready_at=102.0)]
    assert [each.rule for each in Judge(made, {}, "unsafe").breaches()] == ["lost"]
    made.restarts[0][0].refusing_since = 101.0
    assert Judge(made, {}, "unsafe").breaches() == []


def test_the_messages_of_a_call_of_several_are_read_by_their_lengths() -> None:
    body = b"a - 5\r\nx\r\nyz\r\nb key 0\r\n\r\n"
    connection: Connection = None  # type: ignore[assignment]
    request = Request("/inbox/bulk", {}, connection, 0.0, body)
    assert list(messages_of(request)) == [("a", b"x\r\nyz"), ("b", b"")]


def test_short_soaks_break_no_rule(tmp_path: Path) -> None:
    """Longer ones by hand: `python -m linnetstile.soak run --help`."""

    async def work() -> None:
        results = await asyncio.gather(*(play(Plan(seed, 15.0), tmp_path / str(seed)) for seed in (2, 7, 21)))
        for result in results:
            assert len(result.ledger.heard) > 100 and result.ledger.faults.total() > 10
            assert [str(breach) for breach in result.breaches] == []

    asyncio.run(work())


def test_the_soak_sees_a_folder_that_is_too_large_and_a_file_that_is_left_behind(tmp_path: Path) -> None:
    (tmp_path / "journal-3").write_bytes(bytes(DISK_BYTES - 1000))
    assert breaches_of_size(tmp_path, DISK_BYTES) == [] == breaches_of_an_end(tmp_path)
    (tmp_path / "journal.new").write_bytes(bytes(1001))
    (size,), (left,) = breaches_of_size(tmp_path, DISK_BYTES), breaches_of_an_end(tmp_path)
    assert size.startswith("crash: ") and left == "folder: journal.new is left behind"
