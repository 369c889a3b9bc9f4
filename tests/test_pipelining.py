"""Requests that come before the answer to the one before: each is answered, in order (RFC 9112, 9.3.2)."""

from __future__ import annotations

import asyncio
import gc
import socket
import tracemalloc
from collections import Counter
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path

import pytest

from linnetstile.net import client_connection, client_request

from .loopback import Client, message, run, until
from .test_clients import GOOD, World, ended
from .test_floods import PEERS, connected

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
MANY = 300


def mixed(count: int) -> tuple[bytes, list[int]]:
    """Requests, and the status that each has to get."""
    kinds = [(message, 202), (None, 200)]
    data, statuses = b"", []
    for number in range(count):
        make, status = kinds[number % 2]
        data += HEALTH if make is None else make(f"m{number}")
        statuses.append(status)
    return data, statuses


@pytest.mark.parametrize("ends", [False, True], ids=["stays", "ends its sending"])
def test_each_of_many_requests_in_one_go_is_answered_in_order(tmp_path: Path, ends: bool) -> None:
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            host.settings = replace(host.settings, hold=MANY)
            data, statuses = mixed(MANY)
            client.writer.write(data)
            if ends:
                client.writer.write_eof()
                # One that has hung up for all the relay can see gets a refusal for each message.
                statuses = [503] * MANY
            assert [await client.status() for _ in range(MANY)] in (statuses, [503] * MANY)
            if ends:
                assert await ended(client)
            else:
                assert await client.ask(HEALTH) == 200

    run(work())


def test_one_message_that_comes_many_times_at_once_is_one_message(tmp_path: Path) -> None:
    async def work() -> None:
        world = World(tmp_path)
        async with world as host, Client(host.ingress.port) as client:
            client.writer.write(GOOD * MANY)
            assert [await client.status() for _ in range(MANY)] == [202] * MANY
            await until(lambda: not host.held)
            assert list(host.journal.entries) == ["m"]
        assert len(world.server.seen) == 1

    run(work())


@pytest.mark.parametrize("junk", [b"lo", b"\x16\x03", b"get / HTTP/1.1\r\n", b"POST /x\r\n", b"P0ST"])
def test_bytes_behind_a_body_that_begin_no_request_are_a_bad_one(tmp_path: Path, junk: bytes) -> None:
    async def work() -> None:
        world = World(tmp_path)
        async with world as host, Client(host.ingress.port) as client:
            client.writer.write(message("a") + message("b") + junk)
            assert [await client.status(), await client.status()] == [202, 400]
            assert "connection: close" in client.head and await ended(client)
            assert list(host.journal.entries) == ["a"]

    run(work())


@pytest.mark.parametrize(
    "part", [b"P", b"POST", b"POST ", b"POST /safe", b"POST /safe HT", b"POST /safe HTTP/1.1\r"]
)
def test_half_a_request_behind_another_is_waited_for(tmp_path: Path, part: bytes) -> None:
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            second = message("b")
            assert second.startswith(part)
            client.writer.write(message("a") + part)
            assert await client.status() == 202 and "connection: close" not in client.head
            client.writer.write(second[len(part) :])
            assert await client.status() == 202

    run(work())


@pytest.mark.parametrize("how", ["stop", "drain"])
def test_requests_that_have_come_as_the_relay_stops_are_all_answered(tmp_path: Path, how: str) -> None:
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            assert await client.ask(HEALTH) == 200
            client.writer.write(HEALTH * 40)
            if how == "stop":
                host.ingress.stop()
            else:
                host.drain(True)
            answers = [await client.status() for _ in range(40)]
            assert len(answers) == 40 and "connection: close" in client.head
            assert await ended(client)

    run(work())


def test_a_usual_request_is_answered_amid_floods_of_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They take turns: so many of each client are answered before the next client's."""
    handled: Counter[client_connection.ClientConnection] = Counter()
    at_answer: list[int] = []
    handle = client_connection.ClientConnection._handled

    def hook(
        self: client_connection.ClientConnection, request: client_request.Request
    ) -> client_request.Reply:
        if request.headers.get("x-trace-id") == "m":
            at_answer.append(max(handled.values(), default=0))
        handled[self] += 1
        return handle(self, request)

    monkeypatch.setattr(client_connection.ClientConnection, "_handled", hook)

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as usual:
            with ExitStack() as stack:
                flood = connected(stack, host.ingress.port, PEERS)
                await until(lambda: len(host.ingress.connections) == PEERS + 1)
                tracemalloc.start()
                for sock in flood:
                    sock.setblocking(False)
                    sock.send(HEALTH * 500)
                assert await usual.ask(message("m")) == 202
                assert at_answer[0] <= 2 * client_connection.AT_ONCE
                await asyncio.gather(*(answered(sock, 500) for sock in flood))
                gc.collect()  # what is left is kept
                assert tracemalloc.get_traced_memory()[0] < PEERS * client_connection.HEAD_BYTES
                tracemalloc.stop()
            await until(lambda: len(host.ingress.connections) == 1)  # they have gone
            assert list(host.journal.entries) == ["m"]

    run(work())


async def answered(sock: socket.socket, count: int) -> None:
    reader, writer = await asyncio.open_connection(sock=sock)
    for _ in range(count):
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
    writer.close()
