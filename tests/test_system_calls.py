"""Each place where the relay meets the kernel, and what it does when that call fails: a table, walked.

The list is docs/findings/system-calls.md. Files have tests of their own (test_journal_faults)."""

from __future__ import annotations

import asyncio
import errno
import signal
import socket
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from linnetstile import interface as api
from linnetstile.net import sockets
from linnetstile.net.egress import UNSENT

from .conftest import Driver, make_settings
from .faults import fault_world, soon
from .loopback import Client, Server, message, run, until
from .test_clients import World, hold_to
from .test_egress import call, egress

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
EVERY = 3  # so many calls of a kind make one that fails
ASKED = 60

WHILE_SERVING: list[tuple[str, str]] = [
    *(
        ("accept", kind)
        for kind in (
            "ECONNABORTED",
            "EPROTO",
            "ENETDOWN",
            "ENFILE",
            "EMFILE",
            "ENOBUFS",
            "ENOMEM",
            "EPERM",
            "EINTR",
            "EAGAIN",
        )
    ),
    *(("socket", kind) for kind in ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")),
    *(("connect", kind) for kind in ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS")),
    *(("setsockopt", kind) for kind in ("EINVAL", "ENOBUFS", "ENOPROTOOPT")),
    ("recv", "EINTR"),
    ("send", "EAGAIN"),
    ("send", "EINTR"),
    ("send", "ENOBUFS"),
    ("send", "ENOMEM"),
    ("short_send", "EAGAIN"),
]


def named(calls: list[tuple[str, str]]) -> list[str]:
    return [f"{name}-{kind}" for name, kind in calls]


@pytest.mark.parametrize(("name", "kind"), WHILE_SERVING, ids=named(WHILE_SERVING))
def test_every_request_is_answered_and_delivered_once_while_calls_fail(
    tmp_path: Path, name: str, kind: str
) -> None:
    async def work() -> None:
        async with fault_world(tmp_path) as (agent, server, process):
            await process.start()
            process.set(**{name: [kind, EVERY]})
            lost: list[str] = []

            async def client(number: int) -> None:
                for turn in range(ASKED // 6):
                    ident = f"c{number}-{turn}"
                    try:
                        async with asyncio.timeout(10):
                            async with Client(process.port) as one:
                                while await one.ask(message(ident, "keyed", left=16000)) != 202:
                                    await asyncio.sleep(0.05)
                    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                        lost.append(f"{ident}: {error!r}")

            await asyncio.gather(*(client(number) for number in range(6)))
            assert lost == []
            calls = Counter[str]()
            ends: set[str] = set()

            def ended() -> bool:
                while not agent.notices.empty():
                    ends.add(str(agent.notices.get_nowait()["id"]))
                while not server.came.empty():
                    calls[server.came.get_nowait().headers["x-trace-id"]] += 1
                return len(ends | set(calls)) == ASKED

            assert await soon(ended)
            assert set(calls.values()) == {1} and not ends & set(calls)
            process.set()
            assert await process.end(signal.SIGTERM) == 0

    run(work())


AT_THE_START = [
    ("socket", "ENFILE"),
    ("bind", "EADDRNOTAVAIL"),
    ("listen", "ENOBUFS"),
    ("setsockopt", "EINVAL"),
    ("open", "EMFILE"),
    ("link", "EIO"),
    ("scandir", "EIO"),
    ("flock", "ENOLCK"),
    ("write", "ENOSPC"),
    ("stat", "EIO"),
    ("unlink", "EIO"),
]


@pytest.mark.parametrize(("name", "kind"), AT_THE_START, ids=named(AT_THE_START))
def test_a_start_waits_for_what_fails_and_then_serves(tmp_path: Path, name: str, kind: str) -> None:
    async def work() -> None:
        async with fault_world(tmp_path) as (_, server, process):
            process.set(**{name: [kind, 1]})
            await process.begin()
            await asyncio.sleep(0.8)
            assert process.process.returncode is None
            process.set()

            async def healthy() -> None:
                while True:
                    try:
                        async with Client(process.port) as one:
                            if await one.ask(HEALTH) == 200:
                                return
                    except (OSError, asyncio.IncompleteReadError):
                        await asyncio.sleep(0.05)

            await asyncio.wait_for(healthy(), 5)
            await process.hand_in(message("m", "keyed"))
            assert await soon(lambda: len(server.seen) == 1)
            assert await process.end(signal.SIGTERM) == 0

    run(work())


def test_a_connection_that_this_machine_cannot_begin_speaks_against_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        server, fails = await Server().start(), 3
        connect = sockets.connected

        async def refused(address: tuple[str, int]) -> socket.socket:
            nonlocal fails
            fails -= 1
            if fails >= 0:
                raise OSError(errno.EADDRNOTAVAIL, "no port")
            return await connect(address)

        monkeypatch.setattr("linnetstile.net.link.connected", refused)
        assert (await egress().call(call(server.address))).outcome is api.Outcome.OK and fails == -1
        fails = 10**6
        assert await egress().call(call(server.address, 0.2)) == UNSENT

    run(work())


def test_what_was_no_attempt_uses_none_up_and_teaches_nothing() -> None:
    d = Driver(make_settings(attempts=2))
    d.listed((10, 1))
    ident = d.message(left=9000.0)
    before = str(d.relay.lanes[1][-1])
    for turn in range(5):
        sent = d.out.pop(ident)
        d.feed(api.AttemptEnded(ident, turn, sent.endpoint, api.Outcome.NOT_SENT, 1.0, local=True))
        assert ident not in d.ended
        while ident not in d.out:
            d.pass_time(20)
    lane = d.relay.lanes[1][-1]
    assert not lane.blame and not lane.sick and "blame 0.00" in before
    d.answer(ident)
    assert ident not in d.ended


# -- the listener ----------------------------------------------------------------------------------------


def test_no_connection_begins_between_the_last_accept_and_the_close(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The system resets what is queued as a listener closes: a client tries just before it does."""

    async def work() -> None:
        async with World(tmp_path) as host:
            port, outcomes = host.ingress.port, list[str]()
            unbind: Callable[[], None] = host.ingress.unbind

            def late() -> None:
                if host.ingress.listener is not None:
                    outcomes.append(tried(port))
                unbind()

            monkeypatch.setattr(host.ingress, "unbind", late)
            host.ingress.stop()
            await until(lambda: host.ingress.listener is None)
            assert outcomes == ["never connected"]

    run(work())


def tried(port: int) -> str:
    with socket.socket() as sock:
        sock.settimeout(0.2)
        try:
            sock.connect(("127.0.0.1", port))
        except TimeoutError:
            return "never connected"
        sock.sendall(message("late"))
        return "sent its request"


@pytest.mark.parametrize("kind", [errno.ENFILE, errno.ECONNABORTED, errno.EPROTO])
def test_what_is_queued_as_the_relay_stops_is_answered_though_accept_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: int
) -> None:
    async def work() -> None:
        async with World(tmp_path) as host:
            queued = [socket.create_connection(("127.0.0.1", host.ingress.port)) for _ in range(30)]
            for number, sock in enumerate(queued):
                sock.sendall(message(f"m{number}"))
            fails, accept = 4, socket.socket.accept

            def failing(self: socket.socket) -> Any:
                nonlocal fails
                fails -= 1
                if fails >= 0:
                    raise OSError(kind, "fault")
                return accept(self)

            monkeypatch.setattr(socket.socket, "accept", failing)
            host.ingress.stop()
            for sock in queued:
                reader, writer = await asyncio.open_connection(sock=sock)
                assert b"HTTP/1.1 " in await reader.readuntil(b"\r\n\r\n")
                writer.close()
            await until(lambda: host.ingress.listener is None)

    run(work())


def test_who_has_just_had_its_last_answer_makes_no_room(tmp_path: Path) -> None:
    """A close over its unread bytes would reset that answer away."""

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as bad:
            hold_to(host, 1)
            assert await bad.ask(b"nonsense\r\n\r\n") == 400
            (connection,) = host.ingress.lingering
            assert not host.ingress._make_room()
            connection.answered_at -= 1.0
            assert host.ingress._make_room()

    run(work())


def test_a_new_connection_for_which_there_is_no_room_is_answered_if_it_has_asked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with World(tmp_path) as host:
            monkeypatch.setattr(host.ingress, "_make_room", lambda: False)
            hold_to(host, 0)
            sock = socket.create_connection(("127.0.0.1", host.ingress.port))
            sock.sendall(message("m"))  # before the loop can turn
            reader, writer = await asyncio.open_connection(sock=sock)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503") and b"Retry-After" in head
            assert await reader.read(65536) is not None and "m" not in host.journal.entries
            writer.close()

    run(work())
