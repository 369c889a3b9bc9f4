"""A process whose descriptors clients would fill: calls, notices, discovery and operators keep theirs."""

from __future__ import annotations

import asyncio
import errno
import itertools
import os
import resource
import select
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from linnetstile.net.client_connection import ClientConnection
from linnetstile.net.client_request import Reply
from linnetstile.net.ingress import ACCEPTS, SWEEP_S, Ingress
from linnetstile.net.invariants import Invariants

from .loopback import Agent, Client, Seen, Server, answer, listing, message, run, until
from .test_process import Process, free_port

SOCKETS = 256  # the least that a relay is given
FLOOD = 400


@dataclass
class LostAgent(Agent):
    """Takes notices always; while it is away, it resets each call to discovery."""

    away: asyncio.Event = field(default_factory=asyncio.Event)
    resets: int = 0

    async def reply(self, seen: Seen) -> bytes | None | str:
        if not self.away.is_set() or not seen.target.startswith("/v1/servers"):
            return await super().reply(seen)
        self.resets += 1
        return "reset"


class Limited(Process):
    """With no more descriptors than its configuration says, and its log kept."""

    async def begin(self, **more: str) -> None:
        self.door = free_port()
        self.configure(mgmt=f"127.0.0.1:{self.door}")
        self.log = self.config.with_name("log")
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "linnetstile",
                stderr=log,
                env={**os.environ, "RELAY_CONFIG": str(self.config), **more},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS)),
            )

    @asynccontextmanager
    async def flood(self, says: bytes) -> AsyncIterator[None]:
        """So many connections at one moment: they have all come before it takes the first, and stay."""
        self.process.send_signal(signal.SIGSTOP)
        socks = [socket.create_connection(("127.0.0.1", self.port), timeout=5) for _ in range(FLOOD)]
        for sock in socks:
            sock.sendall(says)
        self.process.send_signal(signal.SIGCONT)
        try:
            yield
        finally:
            for sock in socks:
                sock.close()
        while not await self.answers():  # until it has taken all that were queued
            await asyncio.sleep(0.05)

    async def answers(self) -> bool:
        try:
            async with Client(self.port) as client:
                return await client.ask(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def ask_door(self, path: str) -> int:
        async with Client(self.door) as caller:
            return await caller.ask(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())


@pytest.mark.parametrize("says", [b"", b"POST", b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"])
def test_a_flood_of_idle_clients_leaves_all_others_their_descriptors(tmp_path: Path, says: bytes) -> None:
    """While discovery is away, and at its return. No connection to anyone is kept: each needs a new one."""

    async def work() -> None:
        closes = answer(200, "Connection: close")
        agent, server, other = LostAgent(), Server(usual=closes), Server(usual=closes)
        for each in (agent, server, other):
            await each.start()
        process = Limited(tmp_path, agent, server)
        await process.start()
        agent.tell(listing(server))
        await until(lambda: len(agent.seen) == 2)
        async with Client(process.port) as client:
            assert await client.ask(message("m0")) == 202
            await server.came.get()
            agent.away.set()
            agent.changes.put_nowait("reset")  # the watch ends
            async with process.flood(says):  # a call
                assert await client.ask(message("m1")) == 202
                assert (await server.came.get()).headers["x-trace-id"] == "m1"
            server.script.append(answer(500, "Connection: close"))
            async with process.flood(says):  # a notice, the operators' door, and watches that are tried
                resets = agent.resets
                assert await client.ask(message("u", "unsafe")) == 202
                assert await agent.notices.get() == {"id": "u", "state": "failed"}
                assert await process.ask_door("/-/ready") == 200
                await until(lambda: agent.resets > resets)
            async with process.flood(says):  # and one that succeeds
                agent.away.clear()
                agent.tell(listing(other, generation=9))
                await until(lambda: any("from=9" in seen.target for seen in agent.seen))
                assert await client.ask(message("m2")) == 202
                assert (await other.came.get()).headers["x-trace-id"] == "m2"
        assert await process.end(signal.SIGTERM) == 0
        assert "Too many open files" not in process.log.read_text()

    run(work())


def test_a_listener_without_descriptors_neither_spins_nor_stops_for_good() -> None:
    class Full(socket.socket):
        tries: list[float]

        def accept(self) -> tuple[socket.socket, object]:
            self.tries.append(asyncio.get_running_loop().time())
            if len(self.tries) <= 3:
                raise OSError(errno.EMFILE, "Too many open files")
            return super().accept()

    async def work() -> None:
        taken = Ingress(lambda request: Reply(200), lambda ident: None, 8, 8, Invariants())
        taken.bind("127.0.0.1", 0)
        assert taken.listener is not None
        full = Full(fileno=taken.listener.detach())
        full.setblocking(False)
        full.tries, taken.listener = [], full
        taken.listen()
        async with Client(taken.port) as client:
            assert await client.ask(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        assert all(after - before >= 0.9 * SWEEP_S for before, after in itertools.pairwise(full.tries[:4]))
        taken.stop()

    run(work())


def test_newcomers_hold_few_descriptors_until_it_is_known_who_may_stay() -> None:
    """And those that wait meanwhile are taken as soon as one is free."""

    async def work() -> None:
        taken = Ingress(lambda request: Reply(200), lambda ident: None, 2, 8, Invariants())
        taken.bind("127.0.0.1", 0)
        taken.listen()
        most = 0
        admit = taken.admit

        def counted(connection: ClientConnection) -> bool:
            nonlocal most
            most = max(most, len(taken.open))
            return admit(connection)

        taken.admit = counted  # type: ignore[method-assign]
        clients = [socket.create_connection(("127.0.0.1", taken.port)) for _ in range(100)]
        busy = clients[:2]
        for sock in busy:
            sock.sendall(b"POST /")  # a request is open: they stay
        await until(lambda: not polled_open(clients[2:]))
        assert most == 2 + ACCEPTS and len(taken.open) == len(taken.connections) == 2
        for sock in clients:
            sock.close()
        async with Client(taken.port) as client:
            assert await client.ask(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        taken.stop()

    run(work())


def polled_open(socks: list[socket.socket]) -> list[socket.socket]:
    """Those that the other side has not ended."""
    poll = select.poll()
    for sock in socks:
        poll.register(sock, select.POLLIN | select.POLLHUP)
    ended = {number for number, _ in poll.poll(0)}
    return [sock for sock in socks if sock.fileno() not in ended]
