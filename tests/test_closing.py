"""A connection's end crosses its client's bytes: an answer is never reset away, and nothing more is taken on.

The client's bytes come in the turn in which the relay answers or closes: a hook at that line writes them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from linnetstile.net.host import Host
from linnetstile.net.ingress import ClientConnection, Reply

from .loopback import Client, message, run, until
from .test_clients import World


def as_it_answers(monkeypatch: pytest.MonkeyPatch, then: Callable[[], None]) -> None:
    """Once the first answer is written, and before anything follows from it."""
    answer, done = ClientConnection._answer, list[Reply]()

    def hook(self: ClientConnection, reply: Reply) -> None:
        answer(self, reply)
        if not done:
            done.append(reply)
            then()

    monkeypatch.setattr(ClientConnection, "_answer", hook)


@pytest.mark.parametrize("more", [message("late"), message("late")[:40], b"x" * 200_000],
                         ids=["a request", "half a line", "many bytes"])
def test_what_crosses_the_last_answer_neither_resets_it_nor_is_taken_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, more: bytes
) -> None:
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            host.ingress.roomy = 0  # each answer is its connection's last
            as_it_answers(monkeypatch, lambda: client.writer.write(more))
            assert await client.ask(message("m")) == 202 and "connection: close" in client.head
            assert await client.reader.read() == b""  # an end, and no reset
            client.writer.close()
            await until(lambda: not host.ingress.connections)
            assert list(host.journal.entries) == ["m"]
    run(work())


def stop(host: Host) -> None:
    host.ingress.stop()


def drain(host: Host) -> None:
    host.ingress.send_away()


def hang_up(host: Host) -> None:
    host.ingress.stop()
    host.ingress.hang_up()


@pytest.mark.parametrize("end", [stop, drain, hang_up])
def test_an_end_right_behind_the_last_answer_lets_the_client_read_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: Callable[[Host], None]
) -> None:
    """With a request of the client's that came too late unread just then."""
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            host.ingress.roomy = 0

            def then() -> None:
                client.writer.write(message("late"))
                asyncio.get_running_loop().call_soon(end, host)  # right behind the turn of the answer

            as_it_answers(monkeypatch, then)
            assert await client.ask(message("m")) == 202
            assert await client.reader.read() == b""
            client.writer.close()
            await until(lambda: host.ingress.quit if end is not drain else not host.ingress.connections)
            assert "late" not in host.journal.entries
    run(work())


@pytest.mark.parametrize("end", [stop, drain, hang_up])
def test_who_still_sends_what_was_refused_is_not_reset_by_an_end(
    tmp_path: Path, end: Callable[[Host], None]
) -> None:
    """It may not have read its answer yet: it reads once it has sent all."""
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            size = 1 << 20
            head = message("m").replace(b"Content-Length: 5", b"Content-Length: %d" % size)[:-5]
            client.writer.write(head)
            await until(lambda: bool(host.ingress.lingering))
            (connection,) = host.ingress.lingering
            end(host)
            for part in range(1, 5):
                client.writer.write(b"x" * (size // 4))
                await until(lambda: connection.discarded == part * size // 4  # noqa: B023
                            or not host.ingress.connections)
                assert connection in host.ingress.connections
            assert await client.status() == 413 and await client.reader.read() == b""
            client.writer.close()
            await until(lambda: not host.ingress.connections)
            assert not host.journal.entries
    run(work())


def test_a_client_that_stays_after_its_last_answer_is_let_go(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may go on sending until then: all of it is dropped."""
    monkeypatch.setattr("linnetstile.net.ingress.LINGER_S", 0.05)
    monkeypatch.setattr("linnetstile.net.ingress.SWEEP_S", 0.01)

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            host.ingress.roomy = 0
            assert await client.ask(message("m")) == 202
            assert await client.reader.read() == b""
            client.writer.write(message("late"))
            await until(lambda: not host.ingress.connections)
            assert list(host.journal.entries) == ["m"]
    run(work())
