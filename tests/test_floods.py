"""Peers that send much at once: what one may cost is bounded, and others are served in between."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from linnetstile.net import ingress

from .loopback import Client, message, run
from .test_clients import World

MANY = b"".join(b"a%x:\r\n" % number for number in range(12_000))  # 80 KB of headers
TINY = 2 * ingress.PIECES


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
    assert ingress.fault_of(head) is None and Name.compared <= 2000


@pytest.mark.parametrize(("request_", "status"), [
    (message("m").replace(b"\r\n\r\n", b"\r\n" + MANY + b"\r\n"), 431),
    (message("m").replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
     + b"1\r\nx\r\n" * TINY + b"0\r\n\r\n", 400),
], ids=["headers", "chunks"])
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
        body = b"x" * ingress.BODY_BYTES
        world = World(tmp_path)
        async with world as host, Client(host.ingress.port) as client:
            assert await client.ask(message("l") + b"\r\n" * 9000) == 202
            assert (await world.server.came.get()).body == b"hello"
            assert await client.ask(message("m", body=body)) == 202
            assert (await world.server.came.get()).body == body
            assert await client.ask(message("n", body=body[:12_000]) + b"\r\n" + message("o") * 99) == 400
            assert "n" not in host.journal.entries
    run(work())
