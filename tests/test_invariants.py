"""Each invariant counts what breaks it: the guard before it is taken away, and the check behind it speaks."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from linnetstile.connection_reuse import ReusePolicy
from linnetstile.net import clock
from linnetstile.net.egress import Call
from linnetstile.net.host import Host
from linnetstile.net.invariants import Rule
from linnetstile.net.journal import Attempt, Entry

from .loopback import Client, message, run, until
from .test_clients import World


def entry(host: Host, class_: str = "keyed", **more: Any) -> Entry:
    now = clock.now_ms()
    made = Entry("m", class_, "t", 7, "k", now, now + 5000.0, "", b"hello")
    host.journal.take(made)
    made.out = Attempt(now, "s", 0)
    for name, value in more.items():
        setattr(made, name, value)
    return made


def call(host: Host) -> Call:
    (endpoint,) = host.directory.by_number
    return Call(endpoint, ("127.0.0.1", 1), "m", "k", b"", 0.0, lambda: True)


BROKEN: list[tuple[Rule, str, dict[str, Any]]] = [
    (Rule.SENT_WHILE_OPEN, "keyed", {"end": "returned"}),
    (Rule.SENT_ON_FILE, "keyed", {"out": None}),
    (Rule.SENT_IN_TIME, "safe", {"due": 0.0}),
    (Rule.SENT_IN_TIME, "keyed", {"risk": Attempt(0.0, "s", 0)}),
    (Rule.ONE_ATTEMPT, "unsafe", {"risk": Attempt(0.0, "s", 0)}),
]


NAMES = [f"{rule}-{name}" for rule, name, _ in BROKEN]


@pytest.mark.parametrize(("rule", "class_", "more"), BROKEN, ids=NAMES)
def test_a_call_that_must_not_have_left_is_counted(
    tmp_path: Path, rule: Rule, class_: str, more: dict[str, Any]
) -> None:
    async def work() -> None:
        async with World(tmp_path) as host:
            host.checks.message_sent(call(host), entry(host, class_))
            assert not host.invariants.broken
            host.checks.sent.clear()
            host.journal._forget("m")
            host.checks.message_sent(call(host), entry(host, class_, **more))
            assert host.invariants.breaches[rule] == 1 and sum(host.invariants.breaches.values()) == 1

    run(work())


def test_two_calls_of_one_message_and_one_to_nobody_are_counted(tmp_path: Path) -> None:
    async def work() -> None:
        async with World(tmp_path) as host:
            made, out = entry(host), call(host)
            host.checks.message_sent(out, made)
            host.checks.message_sent(out, made)
            assert host.invariants.breaches[Rule.ONE_ATTEMPT] == host.invariants.broken == 1
            host.directory.by_number.clear()
            host.checks.sent.clear()
            host.checks.message_sent(out, made)
            assert host.invariants.breaches[Rule.SENT_TO_READY] == 1

    run(work())


def test_a_second_end_and_a_late_one_are_counted(tmp_path: Path) -> None:
    async def work() -> None:
        async with World(tmp_path) as host:
            made = entry(host, out=None)
            host._end(made, "failed")
            host._end(made, "returned")
            assert host.invariants.breaches[Rule.ONE_END] == host.invariants.broken == 1
            host.journal._forget("m")
            host._end(entry(host, due=0.0, out=None), "failed")
            assert host.invariants.breaches[Rule.END_IN_TIME] == 1

    run(work())


def test_a_request_that_this_side_closes_unanswered_is_counted(tmp_path: Path) -> None:
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            client.writer.write(message("m")[:-2])
            while not any(each.request for each in host.ingress.connections):
                await asyncio.sleep(0.005)
            (connection,) = host.ingress.connections
            connection.abort()
            assert host.invariants.breaches[Rule.ANSWERED] == host.invariants.broken == 1

    run(work())


def test_an_answer_that_may_belong_to_an_earlier_request_is_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ReusePolicy, "hold_s", lambda *args: 0.0)  # connections do not rest

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            for ident in ("first", "second"):
                assert await client.ask(message(ident)) == 202
                await until(lambda: host.journal.entries[ident].end == "delivered")  # noqa: B023
            assert host.invariants.breaches[Rule.ANSWER_OF_REQUEST] == host.invariants.broken == 1

    run(work())
