"""Every message that is held ends once and in time, also where a turn or an action of this program fails."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile import interface as api
from linnetstile.liveness import OVERDUE_MS
from linnetstile.net import clock, journal
from linnetstile.net.host import Host
from linnetstile.net.journal import Journal

from .loopback import Agent, Client, Server, answer, host_of, listing, message, run, until

LATE_S = 0.3
LEFT_MS = 600
Fault = Callable[[Host, pytest.MonkeyPatch], None]


def the_turn_with_an_outcome_fails(host: Host, monkeypatch: pytest.MonkeyPatch) -> None:
    """The message's call has ended, and the decisions never hear of it."""
    handle = host.relay.handle

    def failing(now_ms: float, events: list[api.Event]) -> list[api.Action]:
        if any(isinstance(event, api.AttemptEnded) for event in events):
            raise RuntimeError("planted")
        return handle(now_ms, events)

    monkeypatch.setattr(host.relay, "handle", failing)


def the_turn_that_accepts_fails(host: Host, monkeypatch: pytest.MonkeyPatch) -> None:
    handle = host.relay.handle

    def failing(now_ms: float, events: list[api.Event]) -> list[api.Action]:
        if any(isinstance(event, api.Message) for event in events):
            raise RuntimeError("planted")
        return handle(now_ms, events)

    monkeypatch.setattr(host.relay, "handle", failing)


def a_send_is_not_carried_out(host: Host, monkeypatch: pytest.MonkeyPatch) -> None:
    """The decisions count the call as out, and no task makes it."""

    def failing(sends: list[api.Send]) -> None:
        if sends:
            raise RuntimeError("planted")

    monkeypatch.setattr(host, "_call_out", failing)


def an_action_before_it_fails(host: Host, monkeypatch: pytest.MonkeyPatch) -> None:
    """The timer at which the message would have ended is in the same turn."""
    act = host._act

    def failing(action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            raise RuntimeError("planted")
        act(action)

    monkeypatch.setattr(host, "_act", failing)


@pytest.mark.parametrize(
    "fault",
    [
        the_turn_with_an_outcome_fails,
        the_turn_that_accepts_fails,
        a_send_is_not_carried_out,
        an_action_before_it_fails,
    ],
)
def test_a_message_that_a_fault_of_ours_left_behind_ends_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fault: Fault
) -> None:
    async def work(host: Host, agent: Agent, server: Server) -> None:
        fault(host, monkeypatch)
        due = time.monotonic() + LEFT_MS / 1000
        async with Client(host.ingress.port) as client:
            assert await client.ask(message("m", "unsafe", left=LEFT_MS)) == 202
        try:
            notice = await asyncio.wait_for(agent.notices.get(), LEFT_MS / 1000 + 1.0)
        except TimeoutError:
            notice = {}
        assert notice.get("id") == "m", "no end was told"
        assert time.monotonic() < due + LATE_S
        assert not host.held and host.journal.entries["m"].end

    run(with_host(tmp_path, work))


async def with_host(folder: Path, work: Callable[[Host, Agent, Server], Awaitable[None]]) -> None:
    state = folder / "state"
    state.mkdir()
    agent, server = await Agent().start(), await Server(usual=answer(500)).start()
    agent.tell(listing(server, generation=2))
    for _ in range(100):
        agent.changes.put_nowait(None)  # the watch is silent from then on: no turn is taken for its sake
    host = host_of(state, agent, server)
    await host.start()
    await until(lambda: host.directory.version == 2)
    try:
        await work(host, agent, server)
    finally:
        await host.close()


def test_a_kill_between_a_compaction_and_the_end_behind_it_leaves_the_message_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The record of an end may have to make room first: what is written for that still says the message as
    it was, so its body must not have been dropped yet."""

    async def work(host: Host, agent: Agent, server: Server) -> None:
        server.usual = None
        async with Client(host.ingress.port) as client:
            assert await client.ask(message("m", "safe", b"all of it")) == 202
        await server.came.get()
        found = list[bytes]()

        def make_room(more: int) -> None:
            host.journal._compact()
            copy = folder_copy(host.journal, tmp_path / f"copy-{len(found)}")
            found.append(copy.entries["m"].body if not copy.entries["m"].end else b"all of it")
            copy.close()

        monkeypatch.setattr(host.journal, "_make_room", make_room)
        host._over(host.numbers["m"], "returned")
        assert found and set(found) == {b"all of it"}

    run(with_host(tmp_path, work))


def folder_copy(source: Journal, folder: Path) -> journal.Journal:
    """What a process that starts after a kill right now would read."""
    folder.mkdir()
    (folder / "journal").write_bytes(source.path.read_bytes())
    return Journal(folder, 3_000_000)


def test_the_figures_count_what_was_left_behind(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(host: Host, agent: Agent, server: Server) -> None:
        the_turn_that_accepts_fails(host, monkeypatch)
        async with Client(host.ingress.port) as client:
            assert await client.ask(message("m", "safe", left=LEFT_MS)) == 202
        try:
            await asyncio.wait_for(agent.notices.get(), LEFT_MS / 1000 + 1.0)
        except TimeoutError:
            raise AssertionError("no end was told") from None
        breaches: dict[Any, int] = dict(host.invariants.breaches)
        assert breaches.get("left_behind") == 1

    run(with_host(tmp_path, work))


def test_a_message_whose_outcome_waits_for_its_turn_is_not_left_behind(tmp_path: Path) -> None:
    """The process was held up past its time: the end of its call and the look at it come in one go."""

    async def work(host: Host, agent: Agent, server: Server) -> None:
        server.usual = None
        async with Client(host.ingress.port) as client:
            assert await client.ask(message("m", "safe", left=LEFT_MS)) == 202
        (number,) = host.held
        entry = host.held[number].entry
        ended = host._ended

        def late(*args: Any) -> None:
            time.sleep(max(0.0, entry.due + OVERDUE_MS - clock.now_ms()) / 1000)
            host.last_turn = host.now()  # the next turn is a tick away
            ended(*args)
            host._look_at(number, entry)

        host._ended = late  # type: ignore[method-assign, assignment]
        assert (await agent.notices.get())["id"] == "m"
        assert not host.invariants.broken

    run(with_host(tmp_path, work))
