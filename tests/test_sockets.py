"""What the sockets themselves are set to: no small write is held back for an earlier one's receipt."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
from pathlib import Path
from typing import Any

import pytest

from linnetstile.net.client_connection import ClientConnection
from linnetstile.net.client_request import Reply
from linnetstile.net.link import Link
from linnetstile.net.management import Caller

from .loopback import Agent, Client, Server, host_of, listing, message, run, until

SIOCOUTQNSD = 0x894B  # bytes that a socket has not sent yet (linux/sockios.h)


def test_no_kind_of_connection_holds_small_writes_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What is held back goes with a reset: an answer, if its client's next bytes cross the close."""
    set_: dict[str, list[bool]] = {}

    def watch(kind: type[ClientConnection] | type[Caller] | type[Link]) -> None:
        made = kind.connection_made

        def hook(self: Any, transport: asyncio.BaseTransport) -> None:
            made(self, transport)
            sock = transport.get_extra_info("socket")
            name = f"{kind.__name__} at {sock.getpeername()[1]}" if kind is Link else kind.__name__
            set_.setdefault(name, []).append(bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)))

        monkeypatch.setattr(kind, "connection_made", hook)

    async def work() -> None:
        agent, server = await Agent().start(), await Server().start()
        (tmp_path / "state").mkdir()
        host = host_of(tmp_path / "state", agent, server, mgmt="127.0.0.1:0")
        await host.start()
        agent.tell(listing(server, generation=2))
        assert host.management is not None
        async with Client(host.ingress.port) as client, Client(host.management.port) as staff:
            assert await staff.ask(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200
            assert await client.ask(message("m")) == 202
            await server.came.get()
            await until(lambda: len(agent.seen) > 1)
        await host.close()
        links = {f"Link at {each.address[1]}" for each in (agent, server)}
        assert set(set_) == {"ClientConnection", "Caller", *links}
        assert all(all(each) for each in set_.values()), set_

    for kind in (ClientConnection, Caller, Link):
        watch(kind)
    run(work())


def test_an_answer_in_two_small_writes_is_not_held_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The 202 right behind the 100 that lets the body come, to a client whose system confirms late."""
    unsent = []
    answer = ClientConnection._answer

    def hook(self: ClientConnection, reply: Reply) -> None:
        answer(self, reply)
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        (size,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), SIOCOUTQNSD, b"\0" * 4))
        unsent.append((reply.status, size))

    monkeypatch.setattr(ClientConnection, "_answer", hook)

    async def work() -> None:
        agent, server = await Agent().start(), await Server().start()
        (tmp_path / "state").mkdir()
        host = host_of(tmp_path / "state", agent, server)
        await host.start()
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", host.ingress.port)) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
            sock.setblocking(False)
            await loop.sock_sendall(sock, message("m", Expect="100-continue"))  # does not wait for the 100
            read = b""
            while read.count(b"\r\n\r\n") < 2:
                read += await loop.sock_recv(sock, 65536)
            assert [line.split()[1] for line in read.split(b"\r\n") if line.startswith(b"HTTP/")] == [
                b"100",
                b"202",
            ]
        assert unsent == [(202, 0)]
        await host.close()

    run(work())
