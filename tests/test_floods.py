"""Peers that send much at once: what one may cost is bounded, and others are served in between."""

from __future__ import annotations

import asyncio
import gc
import socket
import tracemalloc
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from linnetstile.net import client_connection, client_request, ingress

from .loopback import SETTINGS, Client, message, run, until
from .test_clients import World
from .test_crossings import World as Crossing

MANY = b"".join(b"a%x:\r\n" % number for number in range(12_000))  # 80 KB of headers
TINY = 2 * client_connection.PIECES
PEERS = 8


class Name(bytes):
    """A header's name that counts how often it is compared."""

    compared = 0

    def __eq__(self, other: object) -> bool:
        Name.compared += 1
        return bytes(self) == other

    __hash__ = bytes.__hash__


def test_the_look_at_a_head_costs_each_header_once() -> None:
    """Each with each of 40,000, as many as a read holds, took the loop 40 s."""
    head: Any = SimpleNamespace(headers=[(Name(b"a%x" % number), b"") for number in range(1000)])
    assert client_request.fault_of(head) is None and Name.compared <= 2000


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (message("m").replace(b"\r\n\r\n", b"\r\n" + MANY + b"\r\n"), 431),
        (
            message("m").replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
            + b"1\r\nx\r\n" * TINY
            + b"0\r\n\r\n",
            400,
        ),
    ],
    ids=["headers", "chunks"],
)
def test_thousands_of_tiny_parts_in_one_read_are_turned_away(
    tmp_path: Path, request_: bytes, status: int
) -> None:
    """They come whole, at once: no bound on what is unfinished stops them."""

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            assert await client.ask(request_) == status and "connection: close" in client.head
            async with Client(host.ingress.port) as other:
                assert await other.ask(message("n")) == 202
            assert list(host.journal.entries) == ["n"]

    run(work())


def test_a_longest_body_in_one_read_is_taken_on(tmp_path: Path) -> None:
    """Its head and its body are parsed in parts, and what follows them is still seen."""

    async def work() -> None:
        body = b"x" * client_request.BODY_BYTES
        world = World(tmp_path)
        async with world as host, Client(host.ingress.port) as client:
            assert await client.ask(message("l") + b"\r\n" * 9000) == 202
            assert (await world.server.came.get()).body == b"hello"
            assert await client.ask(message("m", body=body)) == 202
            assert (await world.server.came.get()).body == body
            assert await client.ask(message("n", body=body[:12_000]) + b"\r\n" + message("o") * 99) == 202
            for _ in range(99):
                assert await client.status() == 202
            assert set(host.journal.entries) == {"l", "m", "n", "o"}
            assert await client.ask(message("p", body=body[:12_000]) + b"\r\nno request") == 400
            assert "p" not in host.journal.entries

    run(work())


def connected(stack: ExitStack, port: int, count: int) -> list[socket.socket]:
    return [stack.enter_context(socket.create_connection(("127.0.0.1", port))) for _ in range(count)]


CHUNKS = (
    message("bad").replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5] + b"1\r\nx\r\n" * 40_000
)
FLOOD = {
    "no HTTP": b"\x16\x03\x01\x02\x00" * 13_107,
    "one long head": b"GET /" + b"a" * 65_531,
    "chunks": CHUNKS,
}


@pytest.mark.parametrize("sort", FLOOD)
def test_a_usual_request_is_answered_amid_a_flood_that_stands_ready(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sort: str
) -> None:
    """All of it lies unread before the first of it is read, and the usual client's request lies behind it."""
    reads = Counter[client_connection.ClientConnection]()
    at_answer: list[int] = []
    received = client_connection.ClientConnection.data_received
    handle = client_connection.ClientConnection._handled

    def count(self: client_connection.ClientConnection, data: bytes) -> None:
        reads[self] += 1
        received(self, data)

    def hook(
        self: client_connection.ClientConnection, request: client_request.Request
    ) -> client_request.Reply:
        if request.headers.get("x-trace-id") == "m":
            at_answer.append(max(reads.values()))
        return handle(self, request)

    monkeypatch.setattr(client_connection.ClientConnection, "data_received", count)
    monkeypatch.setattr(client_connection.ClientConnection, "_handled", hook)

    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as usual:
            with ExitStack() as stack:
                flood = connected(stack, host.ingress.port, PEERS)
                await until(lambda: len(host.ingress.connections) == PEERS + 1)
                tracemalloc.start()
                for sock in flood:
                    sock.setblocking(False)
                    sock.send(FLOOD[sort])
                assert await usual.ask(message("m")) == 202
                assert at_answer == [1]  # none of the flood was read twice before it
                await until(lambda: len(host.ingress.lingering) == PEERS)
                gc.collect()  # what is left is kept
                assert tracemalloc.get_traced_memory()[0] < PEERS * client_connection.HEAD_BYTES
                tracemalloc.stop()
                for sock in flood:
                    assert sock.recv(12) in (b"HTTP/1.1 400", b"HTTP/1.1 431")
            await until(lambda: len(host.ingress.connections) == 1)  # they have gone
            assert list(host.journal.entries) == ["m"]

    run(work())


@pytest.mark.parametrize("by", ["its time", "another"])
def test_a_client_that_reads_no_answers_is_let_go_and_its_last_message_with_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by: str
) -> None:
    """Its connection and its messages are not kept until it reads: that may be never."""
    made, answered = client_connection.ClientConnection.connection_made, asyncio.Event()
    answer = client_connection.ClientConnection._answer

    def small(self: client_connection.ClientConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        made(self, transport)

    def hook(self: client_connection.ClientConnection, reply: client_request.Reply) -> None:
        answer(self, reply)
        answered.set()

    monkeypatch.setattr(client_connection.ClientConnection, "connection_made", small)
    monkeypatch.setattr(client_connection.ClientConnection, "_answer", hook)
    settings = {**SETTINGS, "limits": {**SETTINGS["limits"], "open-cap": 4000}}

    async def work() -> None:
        async with Crossing(tmp_path, settings) as world:
            host = world.host
            world.server.usual = None
            with socket.socket() as deaf:
                deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
                deaf.connect(("127.0.0.1", host.ingress.port))
                await until(lambda: len(host.ingress.connections) == 1)
                (connection,) = host.ingress.connections
                last = -1
                while not connection.stuck:
                    last += 1
                    answered.clear()
                    deaf.sendall(message(f"m{last}"))
                    await answered.wait()
                assert connection.unsent == [f"m{last}"] and f"m{last}" in host.journal.entries
                if by == "its time":
                    deaf.sendall(message("unread"))  # is not read: its answer could not be written either
                    connection.overdue()
                else:
                    monkeypatch.setattr(ingress, "SPARED_S", 0.0)
                    host.ingress.allow(0)
                for _ in range(3):  # turns
                    await asyncio.sleep(0)
                assert connection.transport is not None
                assert connection.transport.get_extra_info("socket").fileno() < 0  # given back
                assert not {f"m{last}", "unread"} & set(host.journal.entries) and "m0" in host.journal.entries

    run(work())
