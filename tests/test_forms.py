"""One message in each form that HTTP/1.1 and the protocol allow, whole and byte by byte: all are the same."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from linnetstile.net.client_connection import ClientConnection

from .loopback import Client, message, run, until
from .test_clients import World

PLAIN = message("m")
LINE = b"POST /safe HTTP/1.1"
CHUNKED = PLAIN.replace(b"Content-Length: 5", b"Transfer-Encoding: Chunked")[:-5]
NAMES = (
    b"Host",
    b"X-Trace-Id",
    b"X-Qos",
    b"X-Customer",
    b"X-Expires-In-Ms",
    b"X-Addressing",
    b"Content-Length",
)


def named_in(case: str) -> bytes:
    request = PLAIN
    for name in NAMES:
        request = request.replace(name + b":", getattr(name, case)() + b":")
    return request


FORMS = {
    "plain": PLAIN,
    "names in lower case": named_in("lower"),
    "names in upper case": named_in("upper"),
    "a longer path": PLAIN.replace(LINE, b"POST /safe/a/b?c=d HTTP/1.1"),
    "a slash at the end": PLAIN.replace(LINE, b"POST /safe/ HTTP/1.1"),
    "a target in absolute form": PLAIN.replace(LINE, b"POST http://origin.svc:80/safe?c=d HTTP/1.1"),
    "its scheme in upper case": PLAIN.replace(LINE, b"POST HTTP://origin.svc/safe HTTP/1.1"),
    "no blanks before values": PLAIN.replace(b": ", b":"),
    "many blanks about values": PLAIN.replace(b": ", b": \t ").replace(b"\r\nX-", b" \t\r\nX-"),
    "more in the address": PLAIN.replace(b"dest=7", b"zone=a; dest=7;shard=x"),
    "more headers": PLAIN.replace(b"\r\n\r\n", b"\r\nConnection: keep-alive\r\nAccept: */*\r\nX-Y:\r\n\r\n"),
    "in one chunk": CHUNKED + b"5\r\nhello\r\n0\r\n\r\n",
    "in chunks with extensions and trailers": CHUNKED
    + b"2;a=b\r\nhe\r\n03\r\nllo\r\n0;c\r\nX-Sum: 1\r\n\r\n",
    "blank lines before it": b"\r\n\r\n" + PLAIN,
    "a blank line behind it": PLAIN + b"\r\n",
}


@pytest.mark.parametrize("form", FORMS)
def test_every_form_is_the_same_message_whole_and_byte_by_byte(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, form: str
) -> None:
    """On one connection: what a form leaves behind must not spoil the next request."""
    read: asyncio.Queue[bytes] = asyncio.Queue()
    received = ClientConnection.data_received

    def hook(self: ClientConnection, data: bytes) -> None:
        received(self, data)
        read.put_nowait(data)

    monkeypatch.setattr(ClientConnection, "data_received", hook)

    async def work() -> None:
        world = World(tmp_path)
        async with world as host, Client(host.ingress.port) as client:
            assert await client.ask(FORMS[form]) == 202, client.text
            await read.get()
            for byte in FORMS[form].replace(b" m", b" n").replace(b":m", b":n"):
                client.writer.write(bytes([byte]))
                await read.get()  # each is read by itself
            assert await client.status() == 202, client.text
            (connection,) = host.ingress.connections
            await until(lambda: connection.idle and connection in host.ingress.resting)
            assert await client.ask(message("o")) == 202, client.text
            await until(lambda: not host.held)
            assert {entry.id: entry.body for entry in host.journal.entries.values()} == dict.fromkeys(
                "mno", b""
            )
        assert {seen.headers["x-trace-id"]: seen.body for seen in world.server.seen} == dict.fromkeys(
            "mno", b"hello"
        )

    run(work())


def test_blank_lines_alone_begin_no_request(tmp_path: Path) -> None:
    async def work() -> None:
        async with World(tmp_path) as host, Client(host.ingress.port) as client:
            client.writer.write(b"\r\n" * 9)
            assert await client.ask(message("m")) == 202
            client.writer.write(b"\r\n")
            (connection,) = host.ingress.connections
            await until(lambda: connection.unheard)
            host.ingress.stop()
            assert await client.reader.read() == b""  # closed between requests, with no answer to none

    run(work())
